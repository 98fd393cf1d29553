#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

route make_route(const std::string& host, const std::string& prefix)
{
    route created;
    created.name = host + prefix;
    created.host = host;
    created.path_prefix = prefix;
    created.targets = {{service_id("pool"), 1.0}};
    return created;
}

route_table make_table()
{
    team_access buyers{team_id("buyers"), 1, {"key-1", "key-2"}};
    return route_table(7, {make_route("a.example", "/x/"), make_route("a.example", "/x/y/")},
                       {{service_id("pool"), "/healthz", 10, millis{3000}, 7.4}}, {buyers}, {});
}

} // namespace

TEST_CASE("find returns the host's route with the longest matching path prefix")
{
    const route_table table = make_table();
    REQUIRE(table.find("a.example", "/x/1")->path_prefix == "/x/");
    REQUIRE(table.find("a.example", "/x/y/1")->path_prefix == "/x/y/");
    REQUIRE(table.find("a.example", "/z/") == nullptr);
    REQUIRE(table.find("b.example", "/x/1") == nullptr);
}

TEST_CASE("teams are found by key and services by name")
{
    const route_table table = make_table();
    REQUIRE(table.requires_keys());
    REQUIRE(table.find_team("key-2")->name == team_id("buyers"));
    REQUIRE(table.find_team("key-3") == nullptr);
    REQUIRE(table.find_service(service_id("pool"))->cold_requests_per_s == Approx(7.4));
}

// Guards against a chat whose requests alternate between the services of a split route.
TEST_CASE("a split route keeps a chat on one service and follows the weights")
{
    route split = make_route("a.example", "/x/");
    split.targets = {{service_id("new"), 10.0}, {service_id("old"), 90.0}};
    int sent_to_new = 0;
    constexpr int chats = 2000;
    for (int n = 0; n < chats; ++n)
    {
        const std::uint64_t chat = hash64(std::to_string(n));
        REQUIRE(choose_target(split, chat) == choose_target(split, chat));
        sent_to_new += choose_target(split, chat) == service_id("new") ? 1 : 0;
    }
    REQUIRE(sent_to_new > chats / 20);
    REQUIRE(sent_to_new < chats / 5);
}
