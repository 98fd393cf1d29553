/// \file
/// \brief Routers of a region whose owners issue permits, combined as in the daemon.
#pragma once

#include "fault.hpp"

#include <endivestage/admission.hpp>
#include <endivestage/ownership.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace matrix
{

using namespace endivestage;

/// One engine, its possible owners, and the requests that run on it.
class region_run
{
public:
    /// \param cold Whether the engine never becomes warm, so that its cold-start limit applies.
    /// \param query_holders False disables the rebuild (R6), to show that the check can fail.
    region_run(bool cold, const std::vector<fault>& faults, std::uint64_t seed,
               bool query_holders = true)
        : cold_(cold),
          query_holders_(query_holders),
          random_(seed),
          plan_(faults, random_)
    {
        for (std::size_t n = 0; n < 4; ++n)
        {
            routers_.emplace_back();
            start(n);
        }
        announce_members({});
    }

    /// \returns Description of the failure; empty when the property held.
    std::string run()
    {
        advance(3000);
        faults_enabled_ = true;
        advance(14000);
        plan_.heal();
        faults_enabled_ = false;
        announce_members({});
        const std::size_t before = issued_count_;
        // The router of the last rank proposes a view after 6 s; a view change and a rebuild
        // follow.
        for (int n = 0; n < 30 && issued_count_ < before + 3 && failure_.empty(); ++n)
        {
            advance(1000);
        }
        return !failure_.empty() || issued_count_ >= before + 3
                   ? failure_
                   : "no permit within 30 s after the faults";
    }

private:
    struct grant
    {
        permit_stamp stamp;
        permit_key key;
        std::size_t holder = 0;
        std::uint64_t holder_run = 0;
        time_point requested_at;
        bool running = false;
        bool ended = false;
        bool released = false;
    };

    struct owner_side
    {
        engine_gate gate;
        std::vector<member> holders;
    };

    struct router
    {
        member self;
        std::int64_t clock_offset = 0;
        std::unique_ptr<view_agent> agent;
        std::optional<owner_side> owned;
        std::int64_t frozen_until = 0;
        std::size_t membership_version = 0;
    };

    struct event
    {
        std::size_t to = 0;
        std::uint64_t to_run = 0;
        std::function<void()> action;
    };

    std::uint32_t max_permits() const { return cold_ ? 2 : 4; }
    time_point local_time(std::size_t n) const { return {now_ + routers_[n].clock_offset}; }

    void start(std::size_t n)
    {
        router& it = routers_[n];
        const std::string name = std::to_string(n);
        it.self = {router_id("r" + name),
                   zone_id("z" + name),
                   "10.0.0." + name,
                   1,
                   2,
                   ++incarnation_,
                   false};
        it.clock_offset = static_cast<std::int64_t>(random_.below(1000000));
        it.agent = std::make_unique<view_agent>(view_config{}, region_id("test"), it.self);
        it.owned.reset();
        execute(n, it.agent->set_endpoints(std::vector<endpoint_id>{engine_}, local_time(n)));
    }

    void advance(std::int64_t duration)
    {
        for (const std::int64_t end = now_ + duration; now_ < end && failure_.empty(); now_ += 20)
        {
            inject_faults();
            deliver();
            for (std::size_t n = 0; n < routers_.size(); ++n)
            {
                if (routers_[n].frozen_until <= now_)
                {
                    step(n);
                }
            }
            load_history_.push_back(running());
        }
    }

    void inject_faults()
    {
        // The membership changes in each run, so that each fault coincides with changes of the
        // owner.
        if (faults_enabled_ && now_ % 4000 == 0)
        {
            announce_members(now_ % 8000 == 0 ? std::set<std::size_t>{}
                                              : std::set<std::size_t>{random_.below(4)});
        }
        for (const fault it : faults_enabled_ ? plan_.advance(now_) : std::vector<fault>{})
        {
            const std::size_t n = random_.below(routers_.size());
            victim_ = it == fault::cut || it == fault::silent_connection ? n : victim_;
            if (it == fault::kill)
            {
                kill(n);
            }
            else if (it == fault::freeze || it == fault::lapse_of_lease)
            {
                routers_[n].frozen_until = now_ + (it == fault::lapse_of_lease ? 2600 : 0) +
                                           static_cast<std::int64_t>(random_.below(3000));
                announce_members({n});
            }
            else if (it == fault::cut || it == fault::operator_race || it == fault::flap)
            {
                announce_members({n}, it == fault::operator_race);
                rejoin_at_ = now_ + 400;
            }
            else if (it == fault::cold_again)
            {
                ++engine_run_;
                for (grant& each : grants_)
                {
                    each.ended = each.ended || each.running;
                }
            }
        }
        if (rejoin_at_ != 0 && now_ >= rejoin_at_)
        {
            rejoin_at_ = 0;
            announce_members({});
        }
    }

    void kill(std::size_t n)
    {
        for (grant& it : grants_)
        {
            it.ended = it.ended || it.holder == n;
            it.released = it.released || it.holder == n;
        }
        start(n);
        announce_members({});
    }

    /// Announces the live members to all routers. With \p split, only every second router observes
    /// the change.
    void announce_members(const std::set<std::size_t>& absent, bool split = false)
    {
        ++membership_version_;
        for (std::size_t n = 0; n < routers_.size(); ++n)
        {
            std::vector<member> seen;
            for (std::size_t other = 0; other < routers_.size(); ++other)
            {
                if (other == n || !absent.contains(other) || (split && n % 2 == 0))
                {
                    seen.push_back(routers_[other].self);
                }
            }
            schedule(n, static_cast<std::int64_t>(random_.below(1500)),
                     [=, this, number = membership_version_]
                     {
                         if (number > routers_[n].membership_version)
                         {
                             routers_[n].membership_version = number;
                             execute(n, routers_[n].agent->on_membership(seen, local_time(n)));
                         }
                     });
        }
    }

    void schedule(std::size_t to, std::int64_t delay, std::function<void()> action)
    {
        queue_.emplace(now_ + delay, event{to, routers_[to].self.incarnation, std::move(action)});
    }

    std::int64_t random_delay()
    {
        return static_cast<std::int64_t>(
            random_.below(plan_.is_active(fault::delay, now_) ? 1500 : 5));
    }

    void send(std::size_t from, const router_id& to_id,
              const std::function<void(std::size_t)>& action)
    {
        const std::size_t to = std::stoul(to_id.str().substr(1));
        const bool cut = plan_.is_active(fault::cut, now_) && (from == victim_ || to == victim_);
        const bool silent = plan_.is_active(fault::silent_connection, now_) && from == victim_;
        const bool lost = plan_.is_active(fault::lost_answer, now_) && random_.below(3) == 0;
        if (from == to || !(cut || silent || lost))
        {
            schedule(to, random_delay(), [=] { action(to); });
        }
    }

    void deliver()
    {
        while (!queue_.empty() && queue_.begin()->first <= now_)
        {
            auto node = queue_.extract(queue_.begin());
            const router& to = routers_[node.mapped().to];
            if (to.self.incarnation != node.mapped().to_run)
            {
                continue;
            }
            if (to.frozen_until > now_)
            {
                node.key() = to.frozen_until;
                queue_.insert(std::move(node));
                continue;
            }
            node.mapped().action();
        }
    }

    void execute(std::size_t n, const view_actions& actions)
    {
        for (const view_action& action : actions)
        {
            std::visit([&](const auto& it) { perform(n, it); }, action);
        }
    }

    void perform(std::size_t n, const table_request& request)
    {
        schedule(n, random_delay(),
                 [=, this]
                 {
                     if (plan_.is_active(fault::store_down, now_) ||
                         (plan_.is_active(fault::cut, now_) && n == victim_))
                     {
                         return;
                     }
                     const table_result outcome = apply(request.operation);
                     if (!plan_.is_active(fault::store_answer_lost, now_) || random_.below(2) == 0)
                     {
                         schedule(n, random_delay(),
                                  [=, this] {
                                      execute(n, routers_[n].agent->on_table_result(
                                                     request.token, outcome, local_time(n)));
                                  });
                     }
                 });
    }

    table_result apply(const table_operation& operation)
    {
        using kind = table_operation::kind;
        if (operation.what != kind::insert && row_.version == 0)
        {
            return {table_result::outcome::not_found, row_};
        }
        const std::uint64_t expected =
            operation.what == kind::insert ? 0 : operation.expected_version;
        if (operation.what != kind::read && expected != row_.version)
        {
            return {table_result::outcome::conflict, row_};
        }
        if (operation.what != kind::read)
        {
            row_ = {operation.key, row_.version + 1, operation.value};
        }
        return {table_result::outcome::applied, row_};
    }

    template <class Message>
    void perform(std::size_t n, const send_message<Message>& message)
    {
        send(n, message.to.id,
             [this, content = message.content](std::size_t to)
             { execute(to, routers_[to].agent->on_message(content, local_time(to))); });
    }

    void perform(std::size_t, const view_adopted&) {}
    void perform(std::size_t n, const ownership_lost&) { routers_[n].owned.reset(); }

    void perform(std::size_t n, const ownership_acquired& acquired)
    {
        std::vector<router_id> holder_ids;
        std::vector<member> holders;
        const bool had_no_owner = acquired.previous_known && acquired.previous_owner.id.empty();
        for (const std::vector<member>* members :
             {&acquired.acquired_in->members, &acquired.acquired_in->previous})
        {
            for (const member& holder : *members)
            {
                if (query_holders_ && !had_no_owner &&
                    std::find(holder_ids.begin(), holder_ids.end(), holder.id) == holder_ids.end())
                {
                    holder_ids.push_back(holder.id);
                    holders.push_back(holder);
                }
            }
        }
        gate_config config;
        config.bound = {1.0, 0.0, 1.0, config.bound.max_mean_age};
        routers_[n].owned.emplace(owner_side{
            engine_gate(config, engine_, acquired.acquired_in->number, holder_ids, local_time(n)),
            holders});
    }

    void step(std::size_t n)
    {
        router& it = routers_[n];
        execute(n, it.agent->tick(local_time(n)));
        finish_permits(n);
        if (it.owned)
        {
            it.owned->gate.update_mean({4.0, 1.0, {}}, local_time(n), local_time(n));
            run_owner_tasks(n);
        }
        const view_pointer view = it.agent->current();
        const member* owner = view ? owner_of(*view, engine_) : nullptr;
        if (owner != nullptr && random_.below(3) == 0)
        {
            send(n, owner->id,
                 [=, this, requested_at = local_time(n), run = it.self.incarnation](std::size_t to)
                 { acquire(to, n, run, requested_at); });
        }
    }

    void run_owner_tasks(std::size_t n)
    {
        owner_side& side = *routers_[n].owned;
        if (now_ % 240 == static_cast<std::int64_t>(n) * 20)
        {
            for (const member& holder :
                 side.gate.is_rebuilding() ? side.holders : std::vector<member>{})
            {
                query_held_permits(n, holder.id, {});
            }
            for (const router_id& holder : side.gate.holders_to_reconcile({2000}, local_time(n)))
            {
                query_held_permits(n, holder, local_time(n));
            }
        }
        if (now_ % 260 == static_cast<std::int64_t>(n) * 20)
        {
            const std::size_t lag = std::min<std::size_t>(random_.below(48), load_history_.size());
            const std::uint32_t load =
                lag == 0 ? running() : load_history_[load_history_.size() - lag];
            schedule(n, random_delay(),
                     [=, this, run = engine_run_, requested_at = local_time(n)] {
                         apply_report(n, {load, 0, run, false, !cold_}, requested_at);
                     });
        }
    }

    void apply_report(std::size_t n, const engine_report& report, time_point requested_at);

    /// \param reconciled_at Time of a query that reconciles permits; empty for the rebuild.
    void query_held_permits(std::size_t n, const router_id& holder,
                            std::optional<time_point> reconciled_at)
    {
        send(n, holder,
             [=, this, number = routers_[n].agent->current()->number](std::size_t to)
             {
                 const view_pointer view = routers_[to].agent->current();
                 if (!view || view->number < number)
                 {
                     return;
                 }
                 std::vector<held_permit> held;
                 std::vector<permit_key> keys;
                 for (const grant& it : grants_)
                 {
                     if (it.holder == to && it.running && !it.released)
                     {
                         held.push_back({it.key, holder, {}, {}});
                         keys.push_back(it.key);
                     }
                 }
                 send(to, routers_[n].self.id,
                      [=, this](std::size_t owner)
                      {
                          if (!routers_[owner].owned)
                          {
                              return;
                          }
                          engine_gate& gate = routers_[owner].owned->gate;
                          reconciled_at
                              ? gate.reconcile(holder, keys, *reconciled_at, local_time(owner))
                              : gate.restore_permits(holder, held, local_time(owner));
                      });
             });
    }

    void acquire(std::size_t n, std::size_t holder, std::uint64_t run, time_point requested_at)
    {
        router& it = routers_[n];
        const view_pointer view = it.agent->current();
        const member* listed =
            view ? find_member(view->members, routers_[holder].self.id) : nullptr;
        if (!it.owned || listed == nullptr || listed->incarnation != run)
        {
            return;
        }
        const time_point now = local_time(n);
        const bool is_allowed = !it.agent->may_issue(engine_, now);
        engine_gate& gate = it.owned->gate;
        gate.set_confirmed(view->number, is_allowed ? now + millis{1} : now, now);
        permit_request request;
        request.holder = listed->id;
        request.deadline = now + millis{60000};
        const permit_answer answer = gate.acquire(request, now);
        const permit* granted = std::get_if<permit>(&answer);
        if (granted == nullptr)
        {
            return;
        }
        ++issued_count_;
        const std::size_t number = grants_.size();
        grants_.push_back({{engine_, it.self.id, it.self.incarnation, view->number, number},
                           granted->key,
                           holder,
                           run,
                           requested_at});
        const std::uint32_t load = running() + pending();
        if (load > max_permits())
        {
            failure_ = std::to_string(load) + " permits instead of " +
                       std::to_string(max_permits()) + " at " + std::to_string(now_) + " ms";
        }
        send(n, listed->id,
             [=, this](std::size_t)
             {
                 grants_[number].running = is_usable(grants_[number]);
                 grants_[number].ended = !grants_[number].running;
             });
    }

    bool is_usable(const grant& it) const
    {
        const router& holder = routers_[it.holder];
        return !it.ended && !it.running && holder.self.incarnation == it.holder_run &&
               !check_permit(it.stamp, *holder.agent->current(), it.requested_at,
                             local_time(it.holder));
    }

    void finish_permits(std::size_t n)
    {
        for (grant& it : grants_)
        {
            if (it.holder != n || it.released || it.holder_run != routers_[n].self.incarnation)
            {
                continue;
            }
            it.ended = it.ended || (it.running ? random_.below(50) == 0 : !is_usable(it));
            if (it.ended)
            {
                it.released = true;
                const permit_outcome done{it.running ? permit_outcome::kind::completed
                                                     : permit_outcome::kind::unused,
                                          millis{cold_ ? 5000 : 100}, 0};
                const member* owner = owner_of(*routers_[n].agent->current(), engine_);
                send(n, owner == nullptr ? it.stamp.owner : owner->id,
                     [=, this, key = it.key](std::size_t to)
                     {
                         if (routers_[to].owned)
                         {
                             routers_[to].owned->gate.release(key, done, local_time(to));
                         }
                     });
            }
        }
    }

    std::uint32_t count(const std::function<bool(const grant&)>& counted) const
    {
        return static_cast<std::uint32_t>(std::count_if(grants_.begin(), grants_.end(), counted));
    }
    std::uint32_t running() const
    {
        return count([](const grant& it) { return it.running && !it.ended; });
    }
    std::uint32_t pending() const
    {
        return count([this](const grant& it) { return is_usable(it); });
    }

    bool cold_;
    bool query_holders_;
    bool faults_enabled_ = false;
    seeded_random random_;
    fault_plan plan_;
    endpoint_id engine_{"e0"};
    std::uint64_t engine_run_ = 1;
    std::uint64_t incarnation_ = 0;
    std::deque<router> routers_;
    std::multimap<std::int64_t, event> queue_;
    std::vector<grant> grants_;
    std::vector<std::uint32_t> load_history_;
    table_row row_{"", 0, ""};
    std::size_t issued_count_ = 0;
    std::size_t victim_ = 0;
    std::size_t membership_version_ = 0;
    std::int64_t rejoin_at_ = 0;
    std::int64_t now_ = 0;
    std::string failure_;
};

inline void region_run::apply_report(std::size_t n, const engine_report& report,
                                     time_point requested_at)
{
    if (routers_[n].owned)
    {
        routers_[n].owned->gate.apply_report(report, requested_at, local_time(n));
    }
}

} // namespace matrix
