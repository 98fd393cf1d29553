#include <endivestage/routing.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <queue>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivestage;

namespace
{

const endpoint_id engine("e1");

std::vector<router_id> make_routers(std::size_t count)
{
    std::vector<router_id> routers;
    for (std::size_t n = 0; n < count; ++n)
    {
        routers.emplace_back("router-" + std::to_string(n));
    }
    return routers;
}

/// A fleet whose routers send to one endpoint as often as they may, stepped in ms.
struct simulated_fleet
{
    simulated_fleet(std::size_t count, std::uint32_t n, std::uint64_t seed)
        : routers(make_routers(count)),
          per_second(n),
          random(seed)
    {
        for (const router_id& id : routers)
        {
            limits.emplace_back(id);
        }
    }

    millis delay() { return millis{static_cast<std::int64_t>(random.below(51))}; }

    void at(time_point t, std::function<void(time_point)> step)
    {
        steps[t].push_back(std::move(step));
    }

    /// The connection takes up to 50 ms, and so does either way.
    void send(std::size_t router, time_point now)
    {
        rejection_limit& limit = limits[router];
        const std::uint64_t number = limit.begin(engine, now);
        at(now + delay(),
           [this, &limit, number](time_point sent)
           {
               limit.record_sent(engine, number, sent);
               at(sent + delay(),
                  [this, &limit, number](time_point arrived) { arrive(limit, number, arrived); });
           });
    }

    void arrive(rejection_limit& limit, std::uint64_t number, time_point now)
    {
        ++arrivals;
        const bool rejected = now < full_until;
        if (rejected)
        {
            rejections.push_back(now);
        }
        // An accepted request may be answered at once or stay open for long.
        const millis work{rejected ? 0 : static_cast<std::int64_t>(random.below(600))};
        at(now + work + delay(),
           [this, &limit, number, rejected](time_point answered)
           {
               limit.end(engine, number);
               if (rejected)
               {
                   limit.record_rejection(engine, random.next(), answered);
               }
           });
    }

    void run(const endpoint_room& room)
    {
        for (time_point now{0}; now < time_point{20000}; now = now + millis{1})
        {
            // The room shrinks and grows without notice.
            if (random.below(300) == 0)
            {
                full_until = now + millis{static_cast<std::int64_t>(random.below(3000))};
            }
            for (std::size_t n = 0; n < routers.size(); ++n)
            {
                for (int burst = 0; burst < 3; ++burst)
                {
                    if (limits[n].may_send(engine, per_second, room, routers, false, now))
                    {
                        send(n, now);
                    }
                }
            }
            // Steps may add others at the same instant.
            while (!steps.empty() && steps.begin()->first <= now)
            {
                const std::vector<std::function<void(time_point)>> due =
                    std::move(steps.begin()->second);
                steps.erase(steps.begin());
                for (const std::function<void(time_point)>& step : due)
                {
                    step(now);
                }
            }
        }
    }

    std::size_t most_rejections_in_a_second() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t n = 0; n < rejections.size(); ++n)
        {
            while (rejections[n] - rejections[first] >= millis{1000})
            {
                ++first;
            }
            most = std::max(most, n - first + 1);
        }
        return most;
    }

    std::vector<router_id> routers;
    std::uint32_t per_second;
    seeded_random random;
    std::vector<rejection_limit> limits;
    std::map<time_point, std::vector<std::function<void(time_point)>>> steps;
    std::vector<time_point> rejections;
    std::size_t arrivals = 0;
    time_point full_until{0};
};

bool may_send(const rejection_limit& limit, const endpoint_room& room,
              std::span<const router_id> routers, bool only_free = false)
{
    return limit.may_send(engine, 3, room, routers, only_free, time_point{1000});
}

} // namespace

// Load: more requests than the endpoint has room for, whose room shrinks without notice. Guards
// against more rejections by all routers together than it tolerates.
TEST_CASE("an endpoint never rejects more requests in a second than it tolerates")
{
    rc::prop("in any second",
             []
             {
                 const std::size_t routers = *rc::gen::inRange<std::size_t>(1, 16);
                 const std::uint32_t per_second = *rc::gen::inRange<std::uint32_t>(1, 51);
                 simulated_fleet fleet(routers, per_second, *rc::gen::arbitrary<std::uint64_t>());
                 endpoint_room room;
                 // Either nothing is known of the room, or half of the slots are taken.
                 room.known = *rc::gen::arbitrary<bool>();
                 room.slots = 1000.0;
                 room.load = 600.0;
                 fleet.run(room);
                 RC_ASSERT(fleet.most_rejections_in_a_second() <= per_second);
                 RC_ASSERT(fleet.arrivals > 0U);
             });
}

// Guards against a limit so strict that endpoints with free slots are not used, by routers without
// a share of the rejections either.
TEST_CASE("every router may send to an endpoint with enough free slots")
{
    const std::vector<router_id> routers = make_routers(9);
    const endpoint_room free{64.0, 10.0, true};
    const endpoint_room full{64.0, 60.0, true};
    const endpoint_room unknown{64.0, 10.0, false};
    std::size_t with_share = 0;
    for (const router_id& id : routers)
    {
        const rejection_limit limit(id);
        REQUIRE(may_send(limit, free, routers));
        REQUIRE(may_send(limit, free, routers, true));
        REQUIRE_FALSE(may_send(limit, full, routers, true));
        REQUIRE_FALSE(may_send(limit, unknown, routers, true));
        with_share += may_send(limit, full, routers) ? 1 : 0;
        REQUIRE(may_send(limit, full, routers) == may_send(limit, unknown, routers));
    }
    REQUIRE(with_share == 3);
}

// Guards against sends that are forgotten while the endpoint may still reject them, and against
// shares that stay taken by requests that were never sent.
TEST_CASE("a send counts until it is answered or would have been rejected")
{
    const std::vector<router_id> routers = make_routers(1);
    rejection_limit limit(routers.front());
    const endpoint_room unknown;
    const auto may = [&](std::int64_t t)
    {
        return limit.may_send(engine, 1, unknown, routers, false, time_point{t});
    };
    {
        const counted_send unsent(limit, engine, time_point{0});
        REQUIRE_FALSE(may(0));
        REQUIRE_FALSE(may(5000));
    }
    REQUIRE(may(5000));
    {
        counted_send lost(limit, engine, time_point{5000});
        lost.record_sent(time_point{5100});
    }
    REQUIRE_FALSE(may(5200));
    REQUIRE(may(5350));
    counted_send answered(limit, engine, time_point{6000});
    answered.record_sent(time_point{6000});
    answered.record_answer();
    REQUIRE(may(6010));
    limit.record_rejection(engine, 0, time_point{6010});
    REQUIRE_FALSE(may(7100));
    REQUIRE(may(7110));
}
