#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

const service_id pool("pool");

endpoint_directory make_pool(int engines)
{
    endpoint_directory directory;
    for (int n = 0; n < engines; ++n)
    {
        endpoint_record record;
        record.id = endpoint_id("engine-" + std::to_string(n));
        record.service = pool;
        record.host = "10.0.0." + std::to_string(n + 1);
        record.port = 80;
        record.zone = zone_id("zone-a");
        record.slots = 64;
        directory.update(record, {0});
    }
    return directory;
}

std::vector<const endpoint_state*> rank(const endpoint_directory& directory,
                                        std::optional<std::uint64_t> chat, time_point now,
                                        std::span<const endpoint_id> tried = {},
                                        std::uint64_t random = 1)
{
    const std::vector<const endpoint_state*> available = directory.available(pool, now);
    endpoint_choice_input input;
    input.endpoints = available;
    input.tried = tried;
    input.now = now;
    input.chat_hash = chat;
    input.tie_breaker = random;
    return rank_endpoints(directory, input, {});
}

} // namespace

// Guards against reading a history again: every router must choose the same engine for a chat.
TEST_CASE("a chat keeps its engine when other engines join")
{
    const endpoint_directory nine = make_pool(9);
    const endpoint_directory ten = make_pool(10);
    int moved = 0;
    constexpr int chats = 1000;
    for (int n = 0; n < chats; ++n)
    {
        const std::uint64_t chat = hash64(std::to_string(n));
        const endpoint_id before = rank(nine, chat, {0}).front()->record.id;
        const endpoint_id after = rank(ten, chat, {0}).front()->record.id;
        if (before != after)
        {
            ++moved;
            REQUIRE(after == endpoint_id("engine-9"));
        }
    }
    REQUIRE(moved < chats / 5);
}

// Load: one chat gets a large part of the traffic. Its engine must stay below the bound.
TEST_CASE("a chat leaves an engine that is above the load bound")
{
    endpoint_directory directory = make_pool(4);
    const std::uint64_t chat = hash64("hot");
    const endpoint_id home = rank(directory, chat, {0}).front()->record.id;
    for (int n = 0; n < 4; ++n)
    {
        directory.record_load_report(endpoint_id("engine-" + std::to_string(n)), 4.0, {10});
    }
    REQUIRE(rank(directory, chat, {11}).front()->record.id == home);
    directory.record_load_report(home, 40.0, {20});
    const std::vector<const endpoint_state*> ranked = rank(directory, chat, {21});
    REQUIRE(ranked.front()->record.id != home);
    REQUIRE(ranked.back()->record.id == home);
}

// Load: an engine answers with failures while its health is good.
TEST_CASE("an endpoint that fails more often than the others comes last")
{
    endpoint_directory directory = make_pool(4);
    const endpoint_id grey("engine-2");
    for (int n = 0; n < 8; ++n)
    {
        directory.begin_request(grey);
        directory.end_request(grey, endpoint_outcome::failed, {n}, millis{0});
    }
    for (std::uint64_t n = 0; n < 50; ++n)
    {
        REQUIRE(rank(directory, std::nullopt, {100}, {}, n).front()->record.id != grey);
    }
    REQUIRE(rank(directory, std::nullopt, {100}).size() == 4);
}

// Guards against no service at all while every endpoint fails.
TEST_CASE("all endpoints are still ranked when all fail")
{
    endpoint_directory directory = make_pool(3);
    for (int n = 0; n < 3; ++n)
    {
        directory.end_request(endpoint_id("engine-" + std::to_string(n)),
                              endpoint_outcome::unreachable, {0}, millis{0});
    }
    REQUIRE(rank(directory, std::nullopt, {1}).size() == 3);
}

TEST_CASE("endpoints that were tried are not ranked again")
{
    const endpoint_directory directory = make_pool(2);
    const std::vector<endpoint_id> tried{endpoint_id("engine-0")};
    const std::vector<const endpoint_state*> ranked = rank(directory, 7, {0}, tried);
    REQUIRE(ranked.size() == 1);
    REQUIRE(ranked.front()->record.id == endpoint_id("engine-1"));
}

// Load: plain services without history; work goes where least of it is.
TEST_CASE("requests without history go to the least loaded endpoint")
{
    endpoint_directory directory = make_pool(3);
    directory.begin_request(endpoint_id("engine-0"));
    directory.begin_request(endpoint_id("engine-1"));
    directory.begin_request(endpoint_id("engine-1"));
    const std::vector<const endpoint_state*> ranked = rank(directory, std::nullopt, {0});
    REQUIRE(ranked[0]->record.id == endpoint_id("engine-2"));
    REQUIRE(ranked[1]->record.id == endpoint_id("engine-0"));
    REQUIRE(ranked[2]->record.id == endpoint_id("engine-1"));
}
