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

// Detectors on a network that delivers at once, unless the filter drops a packet.
class fleet
{
public:
    explicit fleet(std::size_t count) : random_(count)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            hosts.push_back({make_member(n, 0)});
            nodes_.emplace(make_member(n).id, failure_detector({}, make_member(n), random_));
        }
        list_hosts();
    }

    void list_hosts()
    {
        for (auto& [id, node] : nodes_)
        {
            carry(id, node.set_candidates(hosts, now));
        }
    }

    void run(std::int64_t duration)
    {
        for (const time_point end = now + millis{duration}; now < end; now = now + millis{50})
        {
            for (auto& [id, node] : nodes_)
            {
                carry(id, node.tick(now));
            }
        }
    }

    void kill(std::size_t n) { nodes_.erase(make_member(n).id); }

    void restart(std::size_t n, std::uint64_t incarnation)
    {
        kill(n);
        nodes_.emplace(make_member(n).id,
                       failure_detector({}, make_member(n, incarnation), random_));
        list_hosts();
    }

    failure_detector& at(std::size_t n) { return nodes_.at(make_member(n).id); }

    std::size_t live_at(std::size_t n) { return at(n).live_members(now).size(); }

    time_point now{1000};
    std::function<bool(const router_id&, const router_id&)> drops = [](auto&, auto&)
    {
        return false;
    };
    std::size_t changes_to_dead = 0;
    std::vector<host_candidate> hosts;

private:
    void carry(const router_id& from, const membership_actions& actions)
    {
        for (const membership_action& action : actions)
        {
            if (const send_packet* send = std::get_if<send_packet>(&action))
            {
                const auto to = nodes_.find(send->to.id);
                if (to != nodes_.end() && !drops(from, send->to.id))
                {
                    carry(to->first, to->second.receive(send->content, now));
                }
            }
            else if (const member_changed* change = std::get_if<member_changed>(&action))
            {
                changes_to_dead += change->state == member_state::dead;
            }
        }
    }

    seeded_random random_;
    std::map<router_id, failure_detector> nodes_;
};

} // namespace

// Guards against a failure that stays unnoticed, and against live routers declared dead, when a
// tenth of the packets is lost.
TEST_CASE("a killed router is found by all, and no other")
{
    fleet nodes(12);
    seeded_random loss(1);
    nodes.drops = [&](auto&, auto&)
    {
        return loss.below(10) == 0;
    };
    nodes.run(20000);
    REQUIRE(nodes.live_at(3) == 12);
    REQUIRE(nodes.changes_to_dead == 0);
    nodes.kill(5);
    nodes.run(30000);
    for (std::size_t n = 0; n < 12; ++n)
    {
        if (n != 5)
        {
            REQUIRE(nodes.live_at(n) == 11);
        }
    }
    REQUIRE(nodes.changes_to_dead == 11);
}

// Guards against a short loss of contact that ends in a death: the suspect must refute.
TEST_CASE("a suspect that is heard again refutes the suspicion")
{
    fleet nodes(6);
    nodes.run(10000);
    nodes.drops = [](const router_id& from, const router_id& to)
    {
        return from.str() == "r2" || to.str() == "r2";
    };
    nodes.run(4000);
    nodes.drops = [](auto&, auto&)
    {
        return false;
    };
    nodes.run(20000);
    REQUIRE(nodes.changes_to_dead == 0);
    REQUIRE(nodes.at(0).find(router_id("r2"))->state == member_state::alive);
}

// Guards against two halves that hold each other dead for good after a partition.
TEST_CASE("both sides of a healed partition find each other again")
{
    fleet nodes(8);
    nodes.run(10000);
    nodes.drops = [](const router_id& from, const router_id& to)
    {
        return (from.str() < "r4") != (to.str() < "r4");
    };
    nodes.run(40000);
    REQUIRE(nodes.live_at(0) == 4);
    nodes.drops = [](auto&, auto&)
    {
        return false;
    };
    nodes.run(30000);
    REQUIRE(nodes.live_at(0) == 8);
    REQUIRE(nodes.live_at(7) == 8);
}

// Guards against a view change for each restart of a router that crashes all the time, and
// against removing a member that another router let in.
TEST_CASE("a router that fails repeatedly is held down, unless it is in the view")
{
    fleet nodes(5);
    nodes.run(10000);
    nodes.restart(4, 2);
    nodes.run(2000);
    REQUIRE(nodes.live_at(0) == 5);
    nodes.restart(4, 3);
    nodes.run(3000);
    REQUIRE(nodes.live_at(0) == 4);
    const std::vector<member> in_view{make_member(4, 3)};
    REQUIRE(nodes.at(0).live_members(nodes.now, in_view).size() == 5);
    nodes.run(4000);
    REQUIRE(nodes.live_at(0) == 5);
    nodes.restart(4, 4);
    nodes.run(7000);
    REQUIRE(nodes.live_at(0) == 4);
    nodes.run(5000);
    REQUIRE(nodes.live_at(0) == 5);
}

// Guards against gossip from a router that does not know yet that it has to leave.
TEST_CASE("leaving in the host list overrides what the router says of itself")
{
    fleet nodes(4);
    nodes.run(5000);
    nodes.hosts[2].router.leaving = true;
    nodes.at(0).set_candidates(nodes.hosts, nodes.now);
    nodes.run(20000);
    REQUIRE(nodes.at(0).find(router_id("r2"))->who.leaving);
    REQUIRE(nodes.at(1).find(router_id("r2"))->who.leaving);
}

// Guards against blaming others for the time in which this process was paused.
TEST_CASE("a paused router suspects nobody when it wakes up")
{
    fleet nodes(5);
    nodes.run(5000);
    failure_detector paused = std::move(nodes.at(1));
    nodes.kill(1);
    paused.tick(nodes.now);
    const membership_actions actions = paused.tick(nodes.now + millis{5000});
    for (const membership_action& action : actions)
    {
        REQUIRE(!std::holds_alternative<member_changed>(action));
    }
}

// Guards against news that gossip alone does not carry to everyone, also to late joiners, and
// against old versions that replace new ones.
TEST_CASE("an announcement reaches all routers and the highest version stays")
{
    fleet nodes(9);
    nodes.kill(8);
    nodes.run(10000);
    nodes.at(0).announce({"configuration", "digest-2", 2});
    nodes.at(1).announce({"configuration", "digest-1", 1});
    nodes.run(10000);
    nodes.restart(8, 2);
    nodes.run(15000);
    for (std::size_t n = 0; n < 9; ++n)
    {
        REQUIRE(nodes.at(n).find_announcement("configuration")->version == 2);
    }
}

// Guards against packets that exceed what a datagram may carry.
TEST_CASE("gossip on a packet is bounded")
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

// Guards against routers that a push misses or that get it twice.
TEST_CASE("the push tree reaches every member once")
{
    rc::prop("children of all members are all members but the origin",
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

// Guards against fields that get lost on the wire, and against packets that stop a router.
TEST_CASE("packets survive encoding and malformed ones are refused")
{
    rc::prop("decoding gives what was encoded; a cut packet is an error",
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
