/// \file
/// \brief Spread of configurations and zone states over a fleet, with faults.
#pragma once

#include "fault.hpp"

#include <endivestage/admission.hpp>
#include <endivestage/configuration.hpp>
#include <endivestage/endpoint.hpp>
#include <endivestage/membership.hpp>
#include <endivestage/zone.hpp>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace matrix
{

using namespace endivestage;

/// A network of numbered routers with time stepped by hand.
class fleet_network
{
public:
    fleet_network(std::size_t size, const std::vector<fault>& faults, std::uint64_t seed)
        : random_(seed),
          plan_(faults, random_),
          frozen_(size, 0),
          run_(size, 0)
    {
        for (std::size_t n = 0; n < size; ++n)
        {
            const std::string name = std::to_string(1000 + n);
            members_.push_back({router_id(name), zone_id("z" + std::to_string(n % 7)), "10.0.0.1",
                                1, 2, 1, false});
        }
    }

protected:
    bool apart(std::size_t n) const { return n >= victims_ && n < victims_ + members_.size() / 8; }

    void post(std::size_t to, std::int64_t delay, std::function<void()> act)
    {
        queue_.emplace(now_ + delay, std::make_tuple(to, run_[to], std::move(act)));
    }

    /// \returns False when the message is lost.
    bool send(std::size_t from, std::size_t to, const std::function<void()>& act)
    {
        const bool cut = plan_.active(fault::cut, now_) && apart(from) != apart(to);
        const bool silent = plan_.active(fault::silent, now_) && from == victims_;
        const std::uint64_t loss = plan_.active(fault::lost_answer, now_) ? 30 : 5;
        const bool delivered = !cut && !silent && random_.below(100) >= loss;
        if (delivered)
        {
            post(to,
                 1 + (plan_.active(fault::delay, now_)
                          ? static_cast<std::int64_t>(random_.below(700))
                          : 0),
                 act);
        }
        return delivered;
    }

    void inject(const std::function<void(std::size_t)>& restart)
    {
        for (const fault it : faulty_ ? plan_.advance(now_) : std::vector<fault>{})
        {
            const std::size_t n = random_.below(members_.size());
            victims_ = (it == fault::cut || it == fault::silent) && n != reachable_ ? n : victims_;
            if (it == fault::freeze || it == fault::lapse)
            {
                frozen_[n] = now_ + static_cast<std::int64_t>(random_.below(3000));
            }
            if (it == fault::kill || it == fault::flap)
            {
                for (std::size_t k = n;
                     k < std::min(n + (it == fault::kill ? 8 : 2), members_.size()); ++k)
                {
                    ++run_[k];
                    restart(k);
                }
            }
        }
    }

    void deliver()
    {
        while (!queue_.empty() && queue_.begin()->first <= now_)
        {
            auto node = queue_.extract(queue_.begin());
            const auto& [to, run, act] = node.mapped();
            if (frozen_[to] > now_)
            {
                node.key() = frozen_[to];
                queue_.insert(std::move(node));
            }
            else if (run_[to] == run)
            {
                act();
            }
        }
    }

    bool store_up(std::size_t n) const
    {
        return !plan_.active(fault::store_down, now_) &&
               !(plan_.active(fault::cut, now_) && apart(n));
    }

    seeded_random random_;
    fault_plan plan_;
    std::vector<member> members_;
    std::vector<std::int64_t> frozen_;
    std::vector<std::uint64_t> run_;
    std::size_t victims_ = 1;
    /// The router that takes the operator's change; no other can learn it when it is cut off.
    std::size_t reachable_ = 0;
    std::int64_t now_ = 0;
    bool faulty_ = false;
    std::string failure_;

private:
    std::multimap<std::int64_t, std::tuple<std::size_t, std::uint64_t, std::function<void()>>>
        queue_;
};

/// Replicas of the configuration: commits, push tree, gossip and polling.
class configuration_run : public fleet_network
{
public:
    /// \param repair False disables gossip and polling.
    configuration_run(std::size_t size, const std::vector<fault>& faults, std::uint64_t seed,
                      bool repair = true)
        : fleet_network(size, faults, seed),
          repair_(repair),
          replicas_(size),
          before_(size, 0)
    {
        commit(0);
        for (std::size_t n = 0; n < size; ++n)
        {
            start(n);
        }
    }

    std::string run()
    {
        advance(1500);
        for (int n = 0; n < 3; ++n)
        {
            faulty_ = true;
            commit(random_.below(members_.size()));
            commit(random_.below(members_.size()), plan_.planned(fault::race));
            advance(2500);
        }
        // 4 s count from a commit under faults of the network that heal at the same time.
        plan_.heal();
        faulty_ = false;
        std::fill(frozen_.begin(), frozen_.end(), now_);
        commit(random_.below(members_.size()));
        advance(4000);
        for (std::size_t n = 0; n < replicas_.size() && failure_.empty(); ++n)
        {
            if (replicas_[n].active_stamp().version != versions_.size())
            {
                failure_ = "router " + std::to_string(n) + " has version " +
                           std::to_string(replicas_[n].active_stamp().version) + " of " +
                           std::to_string(versions_.size()) + " after 4 s";
            }
        }
        return failure_;
    }

private:
    void start(std::size_t n)
    {
        replicas_[n] = configuration_replica();
        before_[n] = 0;
        std::vector<router_id> peers;
        for (std::size_t k = 0; k < 3; ++k)
        {
            peers.push_back(
                members_[(n + 1 + random_.below(members_.size() - 1)) % members_.size()].id);
        }
        carry_out(n, replicas_[n].start(peers, {now_}));
    }

    /// Commits by the state machine; its first write loses its answer when the fault is planned.
    void commit(std::size_t n, bool wanted = true)
    {
        if (!wanted || !store_up(n))
        {
            return;
        }
        fleet_configuration empty;
        configuration_commit machine(
            {empty, "op", std::to_string(++applies_), std::nullopt, 6, {500}});
        commit_action next = machine.start();
        std::string body;
        bool lose = plan_.planned(fault::lost_effect);
        while (!machine.finished())
        {
            if (const store_body* store = std::get_if<store_body>(&next))
            {
                body = store->body;
                next = machine.on_body_stored(true);
                continue;
            }
            const table_operation operation = std::get<call_table>(next).operation;
            table_result outcome{table_result::outcome::applied, {}};
            const bool write = operation.what != table_operation::kind::read;
            if (!write && row_.version == 0)
            {
                outcome.what = table_result::outcome::not_found;
            }
            else if (write)
            {
                row_ = {operation.key, row_.version + 1, operation.value};
            }
            outcome.row = row_;
            if (write && lose)
            {
                outcome.what = table_result::outcome::lost;
                lose = false;
            }
            next = machine.on_table_result(outcome);
        }
        const commit_finished& end = std::get<commit_finished>(next);
        if (end.code != errc::ok || end.stamp.version != versions_.size() + 1)
        {
            failure_ = "commit ended with " + std::string(to_string(end.code));
            return;
        }
        versions_.emplace_back(end.stamp, body);
        if (now_ > 0)
        {
            post(n, 0, [=, this, v = versions_.size()] { push(n, n, v); });
        }
    }

    void push(std::size_t origin, std::size_t n, std::size_t version)
    {
        const auto& [stamp, body] = versions_[version - 1];
        take_body(n, {members_[origin].id}, stamp, body);
        for (const member& child :
             broadcast_children(members_, members_[origin].id, members_[n].id))
        {
            const std::size_t to = std::stoul(child.id.str()) - 1000;
            send(n, to, [=, this] { push(origin, to, version); });
        }
    }

    void take_body(std::size_t n, const configuration_source& source,
                   const configuration_stamp& stamp, const std::string& body)
    {
        if (stamp.version > replicas_[n].active_stamp().version)
        {
            carry_out(n, replicas_[n].on_body(source, stamp, body, {now_}));
        }
    }

    void carry_out(std::size_t n, const std::vector<replica_action>& actions)
    {
        for (const replica_action& action : actions)
        {
            if (const fetch_stamp* ask = std::get_if<fetch_stamp>(&action))
            {
                answer(
                    n, ask->source,
                    [=, this](const configuration_stamp& stamp)
                    { carry_out(n, replicas_[n].on_stamp(asked_, stamp, {now_})); },
                    ask->source);
            }
            else if (const fetch_body* fetch = std::get_if<fetch_body>(&action))
            {
                const std::size_t v = fetch->stamp.version;
                const configuration_source source = fetch->source;
                const bool here = v > 0 && v <= versions_.size();
                answer(
                    n, source,
                    [=, this](const configuration_stamp&)
                    {
                        if (here)
                        {
                            take_body(n, source, versions_[v - 1].first, versions_[v - 1].second);
                        }
                    },
                    source);
            }
        }
        const std::uint64_t version = replicas_[n].active_stamp().version;
        if (version < before_[n])
        {
            failure_ = "router " + std::to_string(n) + " reverted";
        }
        before_[n] = version;
    }

    /// Carries a question to the store or to a peer, and its answer back.
    void answer(std::size_t n, const configuration_source& from,
                const std::function<void(const configuration_stamp&)>& take,
                const configuration_source& source)
    {
        const auto reply = [=, this](const configuration_stamp& stamp)
        {
            asked_ = source;
            take(stamp);
        };
        if (!from.peer)
        {
            if (store_up(n))
            {
                post(n, 5, [=, this] { reply(versions_.back().first); });
            }
            return;
        }
        const std::size_t peer = std::stoul(from.peer->str()) - 1000;
        send(n, peer,
             [=, this]
             { send(peer, n, [=, stamp = replicas_[peer].highest_stamp()] { reply(stamp); }); });
    }

    void advance(std::int64_t duration)
    {
        for (const std::int64_t end = now_ + duration; now_ < end && failure_.empty(); now_ += 5)
        {
            inject([this](std::size_t n) { start(n); });
            deliver();
            for (std::size_t n = 0; n < replicas_.size(); ++n)
            {
                if (now_ % 250 == 0 && frozen_[n] <= now_)
                {
                    carry_out(n, replicas_[n].tick({now_}));
                }
                // Each router probes one peer per second and gossips both ways.
                if (now_ % 1000 == static_cast<std::int64_t>(n % 200) * 5 && frozen_[n] <= now_)
                {
                    repair(n);
                }
            }
        }
    }

    void repair(std::size_t n)
    {
        if (!repair_)
        {
            return;
        }
        const std::size_t peer = random_.below(replicas_.size());
        const auto gossip = [this](std::size_t from, std::size_t to)
        {
            send(from, to,
                 [=, this, stamp = replicas_[from].highest_stamp()]
                 { carry_out(to, replicas_[to].on_stamp({members_[from].id}, stamp, {now_})); });
        };
        gossip(n, peer);
        gossip(peer, n);
        if (n < 3 && store_up(n))
        {
            carry_out(n, replicas_[n].on_stamp({}, versions_.back().first, {now_}));
        }
    }

    bool repair_;
    std::deque<configuration_replica> replicas_;
    std::vector<std::uint64_t> before_;
    std::vector<std::pair<configuration_stamp, std::string>> versions_;
    configuration_source asked_;
    table_row row_;
    std::size_t applies_ = 0;
};

/// Owners with waiting requests while an operator takes a zone out, or an endpoint leaves.
class service_run : public fleet_network
{
public:
    /// \param leaving An endpoint leaves, instead of its zone being taken out.
    /// \param refuse False keeps the gates in service, to show that the check can fail.
    service_run(bool leaving, const std::vector<fault>& faults, std::uint64_t seed,
                bool refuse = true)
        : fleet_network(8, faults, seed),
          leaving_(leaving),
          refuse_(refuse)
    {
        gate_config policy;
        policy.bound = {1.0, 0.0, 1.0, policy.bound.max_mean_age};
        const configuration_file file{"a",
                                      R"({"zones": {"z": {"region": "r"}, "y": {"region": "r"}},
                "pools": {"p": {"model": "m", "region": "r", "engines": {
                "e": {"host": "127.0.0.1", "port": 9001, "zone": "z"}}}}})"};
        const configuration_merge_result merged = merge_configuration(std::span(&file, 1));
        const auto shared = std::make_shared<fleet_configuration>(merged.configuration);
        for (std::size_t n = 0; n < members_.size(); ++n)
        {
            routers_.emplace_back(engine_gate(policy, endpoint_id("e"), 1, {}, {0}));
            routers_[n].registry.apply(shared);
            routers_[n].registry.on_host_list({1, {{"127.0.0.1", 1, host_state::live}}}, {0});
        }
    }

    std::string run()
    {
        faulty_ = true;
        advance(1000);
        changed_ = now_;
        frozen_[reachable_] = now_;
        change(reachable_, zone_state::out_of_service);
        if (plan_.planned(fault::race))
        {
            change(1, zone_state::in_service);
        }
        advance(6000);
        return failure_;
    }

private:
    struct router
    {
        explicit router(engine_gate made) : gate(std::move(made)) {}

        engine_gate gate;
        endpoint_registry registry;
        zone_table zones;
        std::size_t waiting = 0;
        std::int64_t heard = 0; ///< When a majority last confirmed the view.
        std::uint64_t incarnation = 1;
    };

    void change(std::size_t n, zone_state state)
    {
        if (leaving_)
        {
            routers_[n].registry.on_leaving(endpoint_id("e"));
            spread(n);
            return;
        }
        routers_[n].zones.set(zone_id("z"), state, "op" + std::to_string(n), {now_});
        spread(n);
    }

    /// The register or the leaving mark goes to all others; gossip repeats it.
    void spread(std::size_t n)
    {
        for (std::size_t to = 0; to < routers_.size(); ++to)
        {
            send(n, to,
                 [=, this, zone = routers_[n].zones.all(), gone = is_leaving(n)]
                 { learn(to, zone, gone); });
        }
    }

    bool is_leaving(std::size_t n) const
    {
        return routers_[n].registry.status(endpoint_id("e"), routers_[n].zones, {now_}) ==
               endpoint_status::leaving;
    }

    void learn(std::size_t n, const std::vector<zone_register>& registers, bool gone)
    {
        bool news = gone && !is_leaving(n);
        for (const zone_register& it : registers)
        {
            news = !routers_[n].zones.merge(it).empty() || news;
        }
        if (gone)
        {
            routers_[n].registry.on_leaving(endpoint_id("e"));
        }
        if (news)
        {
            spread(n);
        }
    }

    void restart(std::size_t n)
    {
        // A restarted router reads the state from a peer before it serves.
        const std::size_t peer = (n + 1) % routers_.size();
        routers_[n].heard = now_ - 2000;
        learn(n, routers_[peer].zones.all(), is_leaving(peer));
    }

    void advance(std::int64_t duration)
    {
        for (const std::int64_t end = now_ + duration; now_ < end && failure_.empty(); now_ += 20)
        {
            inject([this](std::size_t n) { restart(n); });
            deliver();
            for (std::size_t n = 0; n < routers_.size(); ++n)
            {
                if (frozen_[n] <= now_)
                {
                    step(n);
                }
            }
        }
    }

    void step(std::size_t n)
    {
        router& it = routers_[n];
        if (now_ % 200 == 0)
        {
            for (int k = 0; k < 3; ++k)
            {
                const std::size_t peer =
                    (n + 1 + random_.below(routers_.size() - 1)) % routers_.size();
                // The answer to a probe carries the peer's gossip and counts as confirmation.
                send(n, peer,
                     [=, this, asked = now_]
                     {
                         send(peer, n,
                              [=, this, zone = routers_[peer].zones.all(), gone = is_leaving(peer)]
                              {
                                  learn(n, zone, gone);
                                  routers_[n].heard = std::max(routers_[n].heard, asked);
                              });
                     });
            }
        }
        if (plan_.active(fault::cold, now_) && random_.below(50) == 0)
        {
            it.gate.apply_report({0, 0, ++it.incarnation, true, false}, {now_});
        }
        const endpoint_status status = it.registry.status(endpoint_id("e"), it.zones, {now_});
        const bool out =
            status == endpoint_status::leaving || status == endpoint_status::zone_out_of_service;
        it.gate.update_mean({2.0, 1.0, {}}, {now_}, {now_});
        if (refuse_)
        {
            const engine_service_state service = !out       ? engine_service_state::in_service
                                                 : leaving_ ? engine_service_state::leaving
                                                            : engine_service_state::out_of_service;
            decided(n, it.gate.set_service_state(service, {now_}));
        }
        // After the service state: a renewed confirmation grants waiting requests at once.
        decided(n, it.gate.set_confirmed(1, {it.heard + 2000}, {now_}));
        permit_request request;
        request.holder = members_[n].id;
        request.team = team_id("t");
        request.deadline = {now_ + 60000};
        request.wait_allowed = true;
        const permit_answer answer = it.gate.acquire(request, {now_});
        if (const permit* given = std::get_if<permit>(&answer))
        {
            granted(n);
            running_[n].push_back(given->key);
        }
        it.waiting += std::holds_alternative<queue_ticket>(answer);
        if (!running_[n].empty() && random_.below(8) == 0)
        {
            const permit_key key = running_[n].front();
            running_[n].pop_front();
            decided(
                n, it.gate.release(key, {permit_outcome::kind::completed, millis{100}, 1}, {now_}));
        }
        if (out && refuse_ && it.gate.waiting() > 0)
        {
            failure_ = "a request still waits at an owner that knows the change";
        }
        if (now_ > changed_ + 2000 && changed_ > 0 && it.gate.waiting() > 0 && fresh(n))
        {
            failure_ = "a request waits for the endpoint 2 s after the change";
        }
    }

    /// Whether a router could have learned the change: it heard a peer during the last 500 ms.
    bool fresh(std::size_t n) const { return it_heard(n) && now_ > changed_ + 3000; }
    bool it_heard(std::size_t n) const { return now_ - routers_[n].heard < 500; }

    void decided(std::size_t n, const std::vector<queue_decision>& decisions)
    {
        for (const queue_decision& it : decisions)
        {
            --routers_[n].waiting;
            if (const permit* given = std::get_if<permit>(&it.answer))
            {
                granted(n);
                running_[n].push_back(given->key);
            }
        }
        if (routers_[n].waiting != routers_[n].gate.waiting() && decisions.empty() == false)
        {
            failure_ = "a waiting request was lost without a decision";
        }
    }

    void granted(std::size_t n)
    {
        if (changed_ > 0 && now_ > changed_ + 2000)
        {
            failure_ = "router " + std::to_string(n) + " granted new work " +
                       std::to_string(now_ - changed_) + " ms after the change";
        }
    }

    bool leaving_;
    bool refuse_;
    std::deque<router> routers_;
    std::map<std::size_t, std::deque<permit_key>> running_;
    std::int64_t changed_ = 0;
};

} // namespace matrix
