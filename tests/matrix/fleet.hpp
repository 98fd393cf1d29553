/// \file
/// \brief Propagation of configurations and zone states through a fleet under faults.
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

/// A network of numbered routers with simulated time and faults.
class fleet_network
{
public:
    fleet_network(std::size_t size, const std::vector<fault>& faults, std::uint64_t seed)
        : random_(seed),
          plan_(faults, random_),
          frozen_until_(size, 0),
          run_numbers_(size, 0)
    {
        for (std::size_t n = 0; n < size; ++n)
        {
            const std::string name = std::to_string(1000 + n);
            members_.push_back({router_id(name), zone_id("z" + std::to_string(n % 7)), "10.0.0.1",
                                1, 2, 1, false});
        }
    }

protected:
    bool is_partitioned(std::size_t n) const
    {
        return n >= first_victim_ && n < first_victim_ + members_.size() / 8;
    }

    void schedule(std::size_t to, std::int64_t delay, std::function<void()> action)
    {
        queue_.emplace(now_ + delay, std::make_tuple(to, run_numbers_[to], std::move(action)));
    }

    /// \returns Whether the message will be delivered; false when it is lost.
    bool send(std::size_t from, std::size_t to, const std::function<void()>& action)
    {
        const bool cut =
            plan_.is_active(fault::cut, now_) && is_partitioned(from) != is_partitioned(to);
        const bool silent =
            plan_.is_active(fault::silent_connection, now_) && from == first_victim_;
        const std::uint64_t loss = plan_.is_active(fault::lost_answer, now_) ? 30 : 5;
        const bool delivered = !cut && !silent && random_.below(100) >= loss;
        if (delivered)
        {
            schedule(to,
                     1 + (plan_.is_active(fault::delay, now_)
                              ? static_cast<std::int64_t>(random_.below(700))
                              : 0),
                     action);
        }
        return delivered;
    }

    void inject_faults(const std::function<void(std::size_t)>& restart)
    {
        for (const fault it : faults_enabled_ ? plan_.advance(now_) : std::vector<fault>{})
        {
            const std::size_t n = random_.below(members_.size());
            first_victim_ =
                (it == fault::cut || it == fault::silent_connection) && n != change_origin_
                    ? n
                    : first_victim_;
            if (it == fault::freeze || it == fault::lapse_of_lease)
            {
                frozen_until_[n] = now_ + static_cast<std::int64_t>(random_.below(3000));
            }
            if (it == fault::kill || it == fault::flap)
            {
                for (std::size_t k = n;
                     k < std::min(n + (it == fault::kill ? 8 : 2), members_.size()); ++k)
                {
                    ++run_numbers_[k];
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
            const auto& [to, run, action] = node.mapped();
            if (frozen_until_[to] > now_)
            {
                node.key() = frozen_until_[to];
                queue_.insert(std::move(node));
            }
            else if (run_numbers_[to] == run)
            {
                action();
            }
        }
    }

    bool is_store_reachable(std::size_t n) const
    {
        return !plan_.is_active(fault::store_down, now_) &&
               !(plan_.is_active(fault::cut, now_) && is_partitioned(n));
    }

    seeded_random random_;
    fault_plan plan_;
    std::vector<member> members_;
    std::vector<std::int64_t> frozen_until_;
    std::vector<std::uint64_t> run_numbers_;
    std::size_t first_victim_ = 1;
    /// The router at which the operator makes a change. It is never partitioned, since no other
    /// router could receive the change then.
    std::size_t change_origin_ = 0;
    std::int64_t now_ = 0;
    bool faults_enabled_ = false;
    std::string failure_;

private:
    std::multimap<std::int64_t, std::tuple<std::size_t, std::uint64_t, std::function<void()>>>
        queue_;
};

/// Replicas of the configuration, which spread by commits, the broadcast tree, gossip and polling.
class configuration_run : public fleet_network
{
public:
    /// \param gossip False disables gossip and polling.
    configuration_run(std::size_t size, const std::vector<fault>& faults, std::uint64_t seed,
                      bool gossip = true)
        : fleet_network(size, faults, seed),
          gossip_enabled_(gossip),
          replicas_(size),
          highest_versions_(size, 0)
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
            faults_enabled_ = true;
            commit(random_.below(members_.size()));
            commit(random_.below(members_.size()), plan_.contains(fault::operator_race));
            advance(2500);
        }
        // The bound of 4 s counts from a commit at the moment at which all faults end.
        plan_.heal();
        faults_enabled_ = false;
        std::fill(frozen_until_.begin(), frozen_until_.end(), now_);
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
        highest_versions_[n] = 0;
        std::vector<router_id> peers;
        for (std::size_t k = 0; k < 3; ++k)
        {
            peers.push_back(
                members_[(n + 1 + random_.below(members_.size() - 1)) % members_.size()].id);
        }
        execute(n, replicas_[n].start(peers, {now_}));
    }

    /// Commits a configuration with the state machine. The answer to its first write is lost when
    /// the plan contains that fault.
    void commit(std::size_t n, bool enabled = true)
    {
        if (!enabled || !is_store_reachable(n))
        {
            return;
        }
        fleet_configuration empty;
        configuration_commit machine(
            {empty, "op", std::to_string(++apply_count_), std::nullopt, 6, {500}});
        commit_action next = machine.start();
        std::string body;
        bool lose_answer = plan_.contains(fault::store_answer_lost);
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
            if (write && lose_answer)
            {
                outcome.what = table_result::outcome::lost;
                lose_answer = false;
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
            schedule(n, 0, [=, this, v = versions_.size()] { push(n, n, v); });
        }
    }

    void push(std::size_t origin, std::size_t n, std::size_t version)
    {
        const auto& [stamp, body] = versions_[version - 1];
        apply_body(n, {members_[origin].id}, stamp, body);
        for (const member& child :
             broadcast_children(members_, members_[origin].id, members_[n].id))
        {
            const std::size_t to = std::stoul(child.id.str()) - 1000;
            send(n, to, [=, this] { push(origin, to, version); });
        }
    }

    void apply_body(std::size_t n, const configuration_source& source,
                    const configuration_stamp& stamp, const std::string& body)
    {
        if (stamp.version > replicas_[n].active_stamp().version)
        {
            execute(n, replicas_[n].on_body(source, stamp, body, {now_}));
        }
    }

    void execute(std::size_t n, const std::vector<replica_action>& actions)
    {
        for (const replica_action& action : actions)
        {
            if (const fetch_stamp* query = std::get_if<fetch_stamp>(&action))
            {
                query_source(
                    n, query->source,
                    [=, this](const configuration_stamp& stamp)
                    { execute(n, replicas_[n].on_stamp(queried_source_, stamp, {now_})); },
                    query->source);
            }
            else if (const fetch_body* fetch = std::get_if<fetch_body>(&action))
            {
                const std::size_t v = fetch->stamp.version;
                const configuration_source source = fetch->source;
                const bool is_committed = v > 0 && v <= versions_.size();
                query_source(
                    n, source,
                    [=, this](const configuration_stamp&)
                    {
                        if (is_committed)
                        {
                            apply_body(n, source, versions_[v - 1].first, versions_[v - 1].second);
                        }
                    },
                    source);
            }
        }
        const std::uint64_t version = replicas_[n].active_stamp().version;
        if (version < highest_versions_[n])
        {
            failure_ = "router " + std::to_string(n) + " reverted to an older version";
        }
        highest_versions_[n] = version;
    }

    /// Sends a query to the store or to a peer, and delivers the answer.
    void query_source(std::size_t n, const configuration_source& from,
                      const std::function<void(const configuration_stamp&)>& on_answer,
                      const configuration_source& source)
    {
        const auto reply = [=, this](const configuration_stamp& stamp)
        {
            queried_source_ = source;
            on_answer(stamp);
        };
        if (!from.peer)
        {
            if (is_store_reachable(n))
            {
                schedule(n, 5, [=, this] { reply(versions_.back().first); });
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
            inject_faults([this](std::size_t n) { start(n); });
            deliver();
            for (std::size_t n = 0; n < replicas_.size(); ++n)
            {
                if (now_ % 250 == 0 && frozen_until_[n] <= now_)
                {
                    execute(n, replicas_[n].tick({now_}));
                }
                // Each router probes one peer per second, and both gossip to each other.
                if (now_ % 1000 == static_cast<std::int64_t>(n % 200) * 5 &&
                    frozen_until_[n] <= now_)
                {
                    gossip_and_poll(n);
                }
            }
        }
    }

    void gossip_and_poll(std::size_t n)
    {
        if (!gossip_enabled_)
        {
            return;
        }
        const std::size_t peer = random_.below(replicas_.size());
        const auto gossip = [this](std::size_t from, std::size_t to)
        {
            send(from, to,
                 [=, this, stamp = replicas_[from].highest_stamp()]
                 { execute(to, replicas_[to].on_stamp({members_[from].id}, stamp, {now_})); });
        };
        gossip(n, peer);
        gossip(peer, n);
        if (n < 3 && is_store_reachable(n))
        {
            execute(n, replicas_[n].on_stamp({}, versions_.back().first, {now_}));
        }
    }

    bool gossip_enabled_;
    std::deque<configuration_replica> replicas_;
    std::vector<std::uint64_t> highest_versions_;
    std::vector<std::pair<configuration_stamp, std::string>> versions_;
    configuration_source queried_source_;
    table_row row_;
    std::size_t apply_count_ = 0;
};

/// Owners with waiting requests while an operator takes a zone out of service or an endpoint
/// leaves.
class service_run : public fleet_network
{
public:
    /// \param leaving Whether an endpoint leaves, instead of its zone going out of service.
    /// \param refuse False keeps the gates in service, to show that the check can fail.
    service_run(bool leaving, const std::vector<fault>& faults, std::uint64_t seed,
                bool refuse = true)
        : fleet_network(8, faults, seed),
          leaving_(leaving),
          refuse_(refuse)
    {
        gate_config config;
        config.bound = {1.0, 0.0, 1.0, config.bound.max_mean_age};
        const configuration_file file{"a",
                                      R"({"zones": {"z": {"region": "r"}, "y": {"region": "r"}},
                "pools": {"p": {"model": "m", "region": "r", "engines": {
                "e": {"host": "127.0.0.1", "port": 9001, "zone": "z"}}}}})"};
        const configuration_merge_result merged = merge_configuration(std::span(&file, 1));
        const auto shared = std::make_shared<fleet_configuration>(merged.configuration);
        for (std::size_t n = 0; n < members_.size(); ++n)
        {
            routers_.emplace_back(engine_gate(config, endpoint_id("e"), 1, {}, {0}));
            routers_[n].registry.apply(shared);
            routers_[n].registry.on_host_list({1, {{"127.0.0.1", 1, host_state::live}}}, {0});
        }
    }

    std::string run()
    {
        faults_enabled_ = true;
        advance(1000);
        changed_at_ = now_;
        frozen_until_[change_origin_] = now_;
        change(change_origin_, zone_state::out_of_service);
        if (plan_.contains(fault::operator_race))
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
        std::int64_t confirmed_at = 0; ///< Time of the last confirmation of the view.
        std::uint64_t incarnation = 1;
    };

    void change(std::size_t n, zone_state state)
    {
        if (leaving_)
        {
            routers_[n].registry.on_leaving(endpoint_id("e"));
            broadcast(n);
            return;
        }
        routers_[n].zones.set(zone_id("z"), state, "op" + std::to_string(n), {now_});
        broadcast(n);
    }

    /// Sends the register or the leaving mark to all other routers; gossip repeats it.
    void broadcast(std::size_t n)
    {
        for (std::size_t to = 0; to < routers_.size(); ++to)
        {
            send(n, to,
                 [=, this, zone = routers_[n].zones.all(), leaving = is_leaving(n)]
                 { apply_gossip(to, zone, leaving); });
        }
    }

    bool is_leaving(std::size_t n) const
    {
        return routers_[n].registry.status(endpoint_id("e"), routers_[n].zones, {now_}) ==
               endpoint_status::leaving;
    }

    void apply_gossip(std::size_t n, const std::vector<zone_register>& registers, bool leaving)
    {
        bool changed = leaving && !is_leaving(n);
        for (const zone_register& it : registers)
        {
            changed = !routers_[n].zones.merge(it).empty() || changed;
        }
        if (leaving)
        {
            routers_[n].registry.on_leaving(endpoint_id("e"));
        }
        if (changed)
        {
            broadcast(n);
        }
    }

    void restart(std::size_t n)
    {
        // A restarted router reads the state from a peer before it serves requests.
        const std::size_t peer = (n + 1) % routers_.size();
        routers_[n].confirmed_at = now_ - 2000;
        apply_gossip(n, routers_[peer].zones.all(), is_leaving(peer));
    }

    void advance(std::int64_t duration)
    {
        for (const std::int64_t end = now_ + duration; now_ < end && failure_.empty(); now_ += 20)
        {
            inject_faults([this](std::size_t n) { restart(n); });
            deliver();
            for (std::size_t n = 0; n < routers_.size(); ++n)
            {
                if (frozen_until_[n] <= now_)
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
                // The ack of a probe carries the gossip of the peer and counts as a confirmation.
                send(n, peer,
                     [=, this, sent_at = now_]
                     {
                         send(peer, n,
                              [=, this, zone = routers_[peer].zones.all(),
                               leaving = is_leaving(peer)]
                              {
                                  apply_gossip(n, zone, leaving);
                                  routers_[n].confirmed_at =
                                      std::max(routers_[n].confirmed_at, sent_at);
                              });
                     });
            }
        }
        if (plan_.is_active(fault::cold_again, now_) && random_.below(50) == 0)
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
            record_decisions(n, it.gate.set_service_state(service, {now_}));
        }
        // This follows the service state, since a renewed confirmation grants waiting requests
        // immediately.
        record_decisions(n, it.gate.set_confirmed(1, {it.confirmed_at + 2000}, {now_}));
        permit_request request;
        request.holder = members_[n].id;
        request.team = team_id("t");
        request.deadline = {now_ + 60000};
        request.wait_allowed = true;
        const permit_answer answer = it.gate.acquire(request, {now_});
        if (const permit* given = std::get_if<permit>(&answer))
        {
            record_grant(n);
            running_[n].push_back(given->key);
        }
        it.waiting += std::holds_alternative<queue_ticket>(answer);
        if (!running_[n].empty() && random_.below(8) == 0)
        {
            const permit_key key = running_[n].front();
            running_[n].pop_front();
            record_decisions(
                n, it.gate.release(key, {permit_outcome::kind::completed, millis{100}, 1}, {now_}));
        }
        if (out && refuse_ && it.gate.waiting() > 0)
        {
            failure_ = "a request still waits at an owner that has received the change";
        }
        if (now_ > changed_at_ + 2000 && changed_at_ > 0 && it.gate.waiting() > 0 &&
            could_have_received_change(n))
        {
            failure_ = "a request waits for the endpoint 2 s after the change";
        }
    }

    /// Whether a router could have received the change: a peer confirmed it during the last 500 ms.
    bool could_have_received_change(std::size_t n) const
    {
        return is_recently_confirmed(n) && now_ > changed_at_ + 3000;
    }
    bool is_recently_confirmed(std::size_t n) const
    {
        return now_ - routers_[n].confirmed_at < 500;
    }

    void record_decisions(std::size_t n, const std::vector<queue_decision>& decisions)
    {
        for (const queue_decision& it : decisions)
        {
            --routers_[n].waiting;
            if (const permit* given = std::get_if<permit>(&it.answer))
            {
                record_grant(n);
                running_[n].push_back(given->key);
            }
        }
        if (routers_[n].waiting != routers_[n].gate.waiting() && decisions.empty() == false)
        {
            failure_ = "a waiting request was lost without a decision";
        }
    }

    void record_grant(std::size_t n)
    {
        if (changed_at_ > 0 && now_ > changed_at_ + 2000)
        {
            failure_ = "router " + std::to_string(n) + " granted new work " +
                       std::to_string(now_ - changed_at_) + " ms after the change";
        }
    }

    bool leaving_;
    bool refuse_;
    std::deque<router> routers_;
    std::map<std::size_t, std::deque<permit_key>> running_;
    std::int64_t changed_at_ = 0;
};

} // namespace matrix
