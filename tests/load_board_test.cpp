#include <endivestage/routing.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>

using namespace endivestage;

namespace
{

using loads = std::vector<engine_requests>;

} // namespace

// Fault: a busy engine answers late, so its own report of its load came after many more requests.
TEST_CASE("a reader gets the sum of what all routers have open")
{
    load_aggregator board;
    board.apply_router_report(1, loads{{100, 3}, {200, 1}}, {0});
    board.apply_router_report(2, loads{{100, 4}}, {10});
    const load_changes all = board.changes_since(0, {20});
    REQUIRE(all.complete);
    REQUIRE(all.loads == loads{{100, 7}, {200, 1}});
    REQUIRE(board.changes_since(all.last_sequence, {30}).loads.empty());
}

// Fault: a report that replaced only listed engines would keep requests that have ended.
TEST_CASE("a report replaces the former one of the same router")
{
    load_aggregator board;
    board.apply_router_report(1, loads{{100, 5}}, {0});
    const load_changes first = board.changes_since(0, {0});
    board.apply_router_report(1, loads{{300, 2}}, {100});
    const load_changes second = board.changes_since(first.last_sequence, {100});
    REQUIRE_FALSE(second.complete);
    REQUIRE(second.loads == loads{{100, 0}, {300, 2}});
}

// Fault: a router is killed; its requests must not count as load for ever.
TEST_CASE("a router that reports nothing more is not counted")
{
    load_aggregator board;
    board.apply_router_report(1, loads{{100, 5}}, {0});
    REQUIRE(board.changes_since(0, {900}).loads == loads{{100, 5}});
    REQUIRE(board.changes_since(0, {1100}).loads.empty());
}

// Fault: three relays, each of which knew a third of the load: an engine with 14 requests was taken
// for one with a single request (puskis-grown trouble-2, first six seconds of traffic).
TEST_CASE("relays tell each other the sums of their own followers only")
{
    load_aggregator first;
    load_aggregator second;
    first.apply_router_report(1, loads{{100, 3}}, {0});
    second.apply_router_report(2, loads{{100, 4}}, {0});
    second.apply_relay_report(91, first.follower_loads({10}), {10});
    first.apply_relay_report(92, second.follower_loads({10}), {10});
    REQUIRE(first.changes_since(0, {10}).loads == loads{{100, 7}});
    REQUIRE(second.changes_since(0, {10}).loads == loads{{100, 7}});
    REQUIRE(first.follower_loads({20}) == loads{{100, 3}});
}

// Load: every small change at each of 90 engines would be sent to every router four times a second.
TEST_CASE("small changes of a large sum are told after a while")
{
    load_aggregator board;
    board.apply_router_report(1, loads{{100, 40}}, {0});
    const load_changes first = board.changes_since(0, {0});
    board.apply_router_report(1, loads{{100, 44}}, {200});
    REQUIRE(board.changes_since(first.last_sequence, {200}).loads.empty());
    board.apply_router_report(1, loads{{100, 44}}, {600});
    REQUIRE(board.changes_since(first.last_sequence, {600}).loads == loads{{100, 44}});
}

namespace
{

/// Routers that share loads with a delay, or only see the loads that engines report with the first
/// event; engines that serve each request for a fixed time.
class pool_model
{
public:
    static constexpr std::size_t routers = 80;
    static constexpr std::size_t engines = 90;

    explicit pool_model(bool share) : share_(share), directories_(routers)
    {
        for (endpoint_directory& directory : directories_)
        {
            for (std::size_t n = 0; n < engines; ++n)
            {
                endpoint_record record;
                record.id = engine_name(n);
                record.service = service_id("pool");
                record.slots = 64;
                directory.update(record, {0});
            }
        }
    }

    /// Plays requests a second for some seconds; a few chats get much of the traffic.
    /// \returns Part of the requests that reached an engine above twice the mean and three.
    double play(std::int64_t seconds)
    {
        std::uint64_t above = 0;
        std::uint64_t sent = 0;
        for (std::int64_t t = 0; t < seconds * 1000; t += 3)
        {
            finish({t});
            if (share_ && t % 300 == 0)
            {
                exchange_loads({t});
            }
            const std::size_t router = random_.below(routers);
            // Ten hot chats get a third of the requests.
            const std::uint64_t chat = random_.below(3) == 0 ? random_.below(10) : random_.next();
            const std::size_t engine = choose(router, hash64("chat", chat), {t});
            const double mean = static_cast<double>(open_.size()) / engines;
            ++sent;
            above += static_cast<double>(held_[engine]) > 2.0 * mean + 3.0 ? 1 : 0;
            directories_[router].begin_request(engine_name(engine));
            ++held_[engine];
            open_.push_back({router, engine, {t + 900}});
        }
        return static_cast<double>(above) / static_cast<double>(sent);
    }

private:
    struct request
    {
        std::size_t router = 0;
        std::size_t engine = 0;
        time_point end;
    };

    static endpoint_id engine_name(std::size_t n)
    {
        return endpoint_id("engine-" + std::to_string(n));
    }

    std::size_t choose(std::size_t router, std::uint64_t chat, time_point now)
    {
        const endpoint_directory& directory = directories_[router];
        const std::vector<const endpoint_state*> all = directory.available(service_id("pool"), now);
        endpoint_choice_input input;
        input.endpoints = all;
        input.now = now;
        input.chat_hash = chat;
        input.tie_breaker = random_.next();
        const endpoint_id chosen = rank_endpoints(directory, input, {}).front()->record.id;
        return static_cast<std::size_t>(std::stoul(chosen.str().substr(7)));
    }

    void finish(time_point now)
    {
        while (!open_.empty() && open_.front().end <= now)
        {
            const request& done = open_.front();
            endpoint_directory& directory = directories_[done.router];
            --held_[done.engine];
            directory.end_request(engine_name(done.engine), endpoint_outcome::served, now,
                                  millis{0});
            directory.record_load_report(engine_name(done.engine), held_[done.engine], now);
            open_.pop_front();
        }
    }

    void exchange_loads(time_point now)
    {
        for (std::size_t n = 0; n < routers; ++n)
        {
            board_.apply_router_report(n + 1, directories_[n].open_requests(), now);
        }
        const load_changes all = board_.changes_since(0, now);
        for (endpoint_directory& directory : directories_)
        {
            directory.apply_fleet_loads(all, now);
        }
    }

    bool share_;
    std::vector<endpoint_directory> directories_;
    std::deque<request> open_;
    std::map<std::size_t, std::uint32_t> held_;
    load_aggregator board_;
    seeded_random random_{7};
};

} // namespace

// Load: the first seconds of a day, 80 routers before 90 engines, a few hot chats, no router with a
// history of loads. Bound: 3 in 100 requests may reach an engine above twice the mean and three.
TEST_CASE("hot chats do not overload an engine when routers share what they have open")
{
    const double alone = pool_model(false).play(6);
    const double shared = pool_model(true).play(6);
    CAPTURE(alone, shared);
    REQUIRE(alone > 0.03);
    REQUIRE(shared < 0.03);
}

// Load: 190 plain requests a second of 60 ms each before five endpoints. With sums that are a
// quarter of a second old all routers went to the same endpoint (cedarfold-grown scale-1: worth of
// the lookups 0.79 instead of 0.92).
TEST_CASE("plain requests do not follow the fleet's sums")
{
    endpoint_directory directory;
    for (const char* id : {"app-1", "app-2"})
    {
        endpoint_record record;
        record.id = endpoint_id(id);
        record.service = service_id("app");
        directory.update(record, {0});
    }
    directory.begin_request(endpoint_id("app-2"));
    load_changes changes;
    changes.complete = true;
    changes.loads = loads{{hash64("app-1"), 5}, {hash64("app-2"), 1}};
    directory.apply_fleet_loads(changes, {10});
    const std::vector<const endpoint_state*> all = directory.available(service_id("app"), {20});
    endpoint_choice_input input;
    input.endpoints = all;
    input.now = {20};
    REQUIRE(rank_endpoints(directory, input, {}).front()->record.id == endpoint_id("app-1"));
    REQUIRE(directory.estimated_load(*all.front(), {20}) == 5.0);
}
