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
                                        std::optional<std::uint64_t> chat_hash, time_point now,
                                        std::span<const endpoint_id> tried = {},
                                        std::uint64_t tie_breaker = 1)
{
    const std::vector<const endpoint_state*> available = directory.available(pool, now);
    endpoint_choice_input input;
    input.endpoints = available;
    input.tried = tried;
    input.now = now;
    input.chat_hash = chat_hash;
    input.tie_breaker = tie_breaker;
    return rank_endpoints(directory, input, {});
}

} // namespace

// Guards against processing a chat's history again: every router must choose the same engine for a
// chat, and a chat may only move to the engine that joined.
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

// Load: one chat gets a large part of the traffic. Its engine must stay below the load bound.
TEST_CASE("a chat is sent to another engine while its own is above the load bound")
{
    endpoint_directory directory = make_pool(4);
    const std::uint64_t chat = hash64("hot");
    const endpoint_id preferred = rank(directory, chat, {0}).front()->record.id;
    for (int n = 0; n < 4; ++n)
    {
        directory.record_load_report(endpoint_id("engine-" + std::to_string(n)), 4.0, {10});
    }
    REQUIRE(rank(directory, chat, {11}).front()->record.id == preferred);
    directory.record_load_report(preferred, 40.0, {20});
    const std::vector<const endpoint_state*> ranked = rank(directory, chat, {21});
    REQUIRE(ranked.front()->record.id != preferred);
    REQUIRE(ranked.back()->record.id == preferred);
}

// Fault: an engine passes its health check but answers requests with failures.
TEST_CASE("an endpoint with a high failure rate is ranked last")
{
    endpoint_directory directory = make_pool(4);
    const endpoint_id failing("engine-2");
    for (int n = 0; n < 8; ++n)
    {
        directory.begin_request(failing);
        directory.end_request(failing, endpoint_outcome::failed, {n}, millis{0});
    }
    for (std::uint64_t n = 0; n < 50; ++n)
    {
        REQUIRE(rank(directory, std::nullopt, {100}, {}, n).front()->record.id != failing);
    }
    REQUIRE(rank(directory, std::nullopt, {100}).size() == 4);
}

// Guards against a complete outage of the service because every endpoint is avoided.
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

TEST_CASE("requests without a chat go to the least loaded endpoint")
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
