#include <catch2/catch.hpp>
#include <endivestage/core.hpp>
#include <endivestage/membership.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

member make_member(std::size_t n, std::uint64_t incarnation = 1)
{
    const std::string name = std::to_string(n);
    return {router_id("r" + name),
            zone_id("z" + std::to_string(n % 4)),
            "10.0.0." + name,
            7000,
            7001,
            incarnation,
            false};
}

// Detectors on a network that delivers each packet immediately, unless is_dropped returns true.
class detector_network
{
public:
    explicit detector_network(std::size_t count, swim_config config = {})
        : config_(config),
          random_(count)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            hosts.push_back({make_member(n, 0)});
            nodes_.emplace(make_member(n).id, failure_detector(config_, make_member(n), random_));
        }
        apply_host_list();
    }

    void apply_host_list()
    {
        for (auto& [id, node] : nodes_)
        {
            execute(id, node.set_candidates(hosts, now));
        }
    }

    void run(std::int64_t duration)
    {
        for (const time_point end = now + millis{duration}; now < end; now = now + millis{50})
        {
            for (auto& [id, node] : nodes_)
            {
                execute(id, node.tick(now));
            }
        }
    }

    void kill(std::size_t n) { nodes_.erase(make_member(n).id); }

    void restart(std::size_t n, std::uint64_t incarnation)
    {
        kill(n);
        nodes_.emplace(make_member(n).id,
                       failure_detector(config_, make_member(n, incarnation), random_));
        apply_host_list();
    }

    failure_detector& at(std::size_t n) { return nodes_.at(make_member(n).id); }

    std::size_t live_count(std::size_t n) { return at(n).live_members(now).size(); }

    time_point now{1000};
    std::function<bool(const router_id&, const router_id&)> is_dropped = [](auto&, auto&)
    {
        return false;
    };
    std::size_t dead_count = 0;
    std::vector<host_candidate> hosts;

private:
    void execute(const router_id& from, const membership_actions& actions)
    {
        for (const membership_action& action : actions)
        {
            if (const send_packet* send = std::get_if<send_packet>(&action))
            {
                const auto to = nodes_.find(send->to.id);
                if (to != nodes_.end() && !is_dropped(from, send->to.id))
                {
                    execute(to->first, to->second.receive(send->content, now));
                }
            }
            else if (const member_changed* change = std::get_if<member_changed>(&action))
            {
                dead_count += change->state == member_state::dead;
            }
        }
    }

    swim_config config_;
    seeded_random random_;
    std::map<router_id, failure_detector> nodes_;
};

/// The configuration of serving/peer_service.cpp.
swim_config router_config()
{
    swim_config config;
    config.probe_interval = millis{400};
    config.probe_timeout = millis{150};
    config.suspicion_intervals = 1.0;
    config.initial_hold_down = millis{0};
    return config;
}

} // namespace

// Guards against an undetected failure, and against live routers that are declared dead, while a
// tenth of the packets is lost.
TEST_CASE("all routers detect a killed router and declare no other router dead")
{
    detector_network network(12);
    seeded_random random(1);
    network.is_dropped = [&](auto&, auto&)
    {
        return random.below(10) == 0;
    };
    network.run(20000);
    REQUIRE(network.live_count(3) == 12);
    REQUIRE(network.dead_count == 0);
    network.kill(5);
    network.run(30000);
    for (std::size_t n = 0; n < 12; ++n)
    {
        if (n != 5)
        {
            REQUIRE(network.live_count(n) == 11);
        }
    }
    REQUIRE(network.dead_count == 11);
}

// Load: nine in ten routers of a fleet are killed at once. Guards against survivors that need a
// probe interval for each of them: the directory has 6 s to omit dead routers.
TEST_CASE("survivors of a mass failure detect all dead routers within six seconds")
{
    for (const std::size_t count : {10UL, 30UL, 100UL})
    {
        detector_network network(count, router_config());
        network.run(10000);
        REQUIRE(network.live_count(0) == count);
        const std::size_t survivors = count / 10 + 1;
        for (std::size_t n = survivors; n < count; ++n)
        {
            network.kill(n);
        }
        network.run(6000);
        for (std::size_t n = 0; n < survivors; ++n)
        {
            REQUIRE(network.live_count(n) == survivors);
        }
    }
}

// Guards against a router that takes all others for dead because its own link was cut.
TEST_CASE("a router whose own link is cut for a while suspects few others")
{
    detector_network network(30, router_config());
    network.run(10000);
    network.is_dropped = [](const router_id& from, const router_id& to)
    {
        return from == router_id("r3") || to == router_id("r3");
    };
    network.run(4000);
    // One in each probe interval, less those under suspicion.
    REQUIRE(network.live_count(3) >= 20);
}

// Guards against a router that is declared dead after a short loss of its connectivity: it must
// refute the suspicion once packets reach it again.
TEST_CASE("a suspect that is reachable again refutes the suspicion")
{
    detector_network network(6);
    network.run(10000);
    network.is_dropped = [](const router_id& from, const router_id& to)
    {
        return from.str() == "r2" || to.str() == "r2";
    };
    network.run(4000);
    network.is_dropped = [](auto&, auto&)
    {
        return false;
    };
    network.run(20000);
    REQUIRE(network.dead_count == 0);
    REQUIRE(network.at(0).find(router_id("r2"))->state == member_state::alive);
}

// Guards against two halves of a partition that consider each other dead after it has healed.
TEST_CASE("both sides of a healed partition find each other again")
{
    detector_network network(8);
    network.run(10000);
    network.is_dropped = [](const router_id& from, const router_id& to)
    {
        return (from.str() < "r4") != (to.str() < "r4");
    };
    network.run(40000);
    REQUIRE(network.live_count(0) == 4);
    network.is_dropped = [](auto&, auto&)
    {
        return false;
    };
    network.run(30000);
    REQUIRE(network.live_count(0) == 8);
    REQUIRE(network.live_count(7) == 8);
}

// Guards against a view change at each restart of a router that crashes repeatedly, and against
// removing a member that another router has added to the view.
TEST_CASE("a router that fails repeatedly is held down, unless it is in the view")
{
    detector_network network(5);
    network.run(10000);
    network.restart(4, 2);
    network.run(2000);
    REQUIRE(network.live_count(0) == 5);
    network.restart(4, 3);
    network.run(3000);
    REQUIRE(network.live_count(0) == 4);
    const std::vector<member> in_view{make_member(4, 3)};
    REQUIRE(network.at(0).live_members(network.now, in_view).size() == 5);
    network.run(4000);
    REQUIRE(network.live_count(0) == 5);
    network.restart(4, 4);
    network.run(7000);
    REQUIRE(network.live_count(0) == 4);
    network.run(5000);
    REQUIRE(network.live_count(0) == 5);
}

// Guards against a lost leaving mark while the gossip of the router itself does not carry it yet.
TEST_CASE("a leaving mark in the host list overrides the gossip of the router")
{
    detector_network network(4);
    network.run(5000);
    network.hosts[2].router.leaving = true;
    network.at(0).set_candidates(network.hosts, network.now);
    network.run(20000);
    REQUIRE(network.at(0).find(router_id("r2"))->who.leaving);
    REQUIRE(network.at(1).find(router_id("r2"))->who.leaving);
}

// Guards against suspecting peers because this process was paused and could not read their acks.
TEST_CASE("a paused router suspects no peer after it resumes")
{
    detector_network network(5);
    network.run(5000);
    failure_detector paused = std::move(network.at(1));
    network.kill(1);
    paused.tick(network.now);
    const membership_actions actions = paused.tick(network.now + millis{5000});
    for (const membership_action& action : actions)
    {
        REQUIRE(!std::holds_alternative<member_changed>(action));
    }
}

// Guards against announcements that do not reach all routers, including late joiners, and against
// older versions that replace newer ones.
TEST_CASE("an announcement reaches all routers and the highest version wins")
{
    detector_network network(9);
    network.kill(8);
    network.run(10000);
    network.at(0).announce({"configuration", "digest-2", 2});
    network.at(1).announce({"configuration", "digest-1", 1});
    network.run(10000);
    network.restart(8, 2);
    network.run(15000);
    for (std::size_t n = 0; n < 9; ++n)
    {
        REQUIRE(network.at(n).find_announcement("configuration")->version == 2);
    }
}

// Guards against packets that exceed the size of a datagram.
TEST_CASE("the gossip in a packet is bounded")
{
    seeded_random random(1);
    failure_detector node({}, make_member(0), random);
    std::vector<member> many;
    for (std::size_t n = 1; n < 100; ++n)
    {
        many.push_back(make_member(n));
        node.announce({"key" + std::to_string(n), std::string(200, 'v'), 1});
    }
    node.add_view_members(many, time_point{0});
    const membership_actions actions = node.tick(time_point{0});
    REQUIRE(actions.size() == 1);
    REQUIRE(encode_packet(std::get<send_packet>(actions.front()).content).size() < 1400);
}

// Guards against routers that receive a broadcast twice or not at all.
TEST_CASE("the broadcast tree reaches every member once")
{
    rc::prop("the children of all members are all members except the origin",
             []
             {
                 const std::size_t count = *rc::gen::inRange<std::size_t>(1, 500);
                 const std::size_t origin = *rc::gen::inRange<std::size_t>(0, count);
                 std::vector<member> members;
                 for (std::size_t n = 0; n < count; ++n)
                 {
                     members.push_back(make_member(n));
                 }
                 std::map<router_id, int> reached{{members[origin].id, 1}};
                 for (const member& self : members)
                 {
                     const std::vector<member> children =
                         broadcast_children(members, members[origin].id, self.id);
                     RC_ASSERT(children.size() <= 8U);
                     for (const member& child : children)
                     {
                         RC_ASSERT(++reached[child.id] == 1);
                     }
                 }
                 RC_ASSERT(reached.size() == count);
             });
}

// Guards against fields that are lost in encoding, and against malformed packets that crash a
// router.
TEST_CASE("decoding restores an encoded packet and rejects malformed ones")
{
    rc::prop("decoding returns the encoded packet; a truncated packet is an error",
             [](std::uint64_t sequence, std::uint64_t version)
             {
                 packet sent{packet::kind::ping_request, sequence, make_member(1, version),
                             router_id("r\"2"),          {},       {}};
                 sent.updates.push_back({make_member(3), member_state::suspect, version});
                 sent.announcements.push_back({"view", "\xc3\xa9\n", version});
                 const std::string text = encode_packet(sent);
                 RC_ASSERT(decode_packet(text).value() == sent);
                 const std::size_t cut = *rc::gen::inRange<std::size_t>(0, text.size());
                 RC_ASSERT(decode_packet(text.substr(0, cut)).error() == errc::invalid_request);
             });
}
