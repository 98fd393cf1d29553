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

/// One engine, its possible owners, and what really runs on it.
class region_run
{
public:
    /// \param cold The engine never becomes warm, so that its cold-start count must hold.
    /// \param ask_holders False disables the rebuild (R6), to show that the check can fail.
    region_run(bool cold, const std::vector<fault>& faults, std::uint64_t seed,
               bool ask_holders = true)
        : cold_(cold),
          ask_holders_(ask_holders),
          random_(seed),
          plan_(faults, random_)
    {
        for (std::size_t n = 0; n < 4; ++n)
        {
            routers_.emplace_back();
            start(n);
        }
        tell_all({});
    }

    /// \returns What went wrong; empty when the property held.
    std::string run()
    {
        advance(3000);
        faulty_ = true;
        advance(14000);
        plan_.heal();
        faulty_ = false;
        tell_all({});
        const std::size_t before = issued_;
        // The last rank proposes after 6 s; then come a change and a rebuild.
        for (int n = 0; n < 30 && issued_ < before + 3 && failure_.empty(); ++n)
        {
            advance(1000);
        }
        return !failure_.empty() || issued_ >= before + 3
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
        time_point asked;
        bool running = false;
        bool over = false;
        bool released = false;
    };

    struct owner_side
    {
        engine_gate gate;
        std::vector<member> to_ask;
    };

    struct router
    {
        member self;
        std::int64_t epoch = 0;
        std::unique_ptr<view_agent> agent;
        std::optional<owner_side> owned;
        std::int64_t frozen_until = 0;
        std::size_t opinion = 0;
    };

    struct event
    {
        std::size_t to = 0;
        std::uint64_t to_run = 0;
        std::function<void()> act;
    };

    std::uint32_t cap() const { return cold_ ? 2 : 4; }
    time_point local(std::size_t n) const { return {now_ + routers_[n].epoch}; }

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
        it.epoch = static_cast<std::int64_t>(random_.below(1000000));
        it.agent = std::make_unique<view_agent>(view_config{}, region_id("test"), it.self);
        it.owned.reset();
        act(n, it.agent->set_endpoints(std::vector<endpoint_id>{engine_}, local(n)));
    }

    void advance(std::int64_t duration)
    {
        for (const std::int64_t end = now_ + duration; now_ < end && failure_.empty(); now_ += 20)
        {
            inject();
            deliver();
            for (std::size_t n = 0; n < routers_.size(); ++n)
            {
                if (routers_[n].frozen_until <= now_)
                {
                    step(n);
                }
            }
            loads_.push_back(running());
        }
    }

    void inject()
    {
        // Members come and go in each run, so that each fault meets changes of the owner.
        if (faulty_ && now_ % 4000 == 0)
        {
            tell_all(now_ % 8000 == 0 ? std::set<std::size_t>{}
                                      : std::set<std::size_t>{random_.below(4)});
        }
        for (const fault it : faulty_ ? plan_.advance(now_) : std::vector<fault>{})
        {
            const std::size_t n = random_.below(routers_.size());
            victim_ = it == fault::cut || it == fault::silent ? n : victim_;
            if (it == fault::kill)
            {
                kill(n);
            }
            else if (it == fault::freeze || it == fault::lapse)
            {
                routers_[n].frozen_until = now_ + (it == fault::lapse ? 2600 : 0) +
                                           static_cast<std::int64_t>(random_.below(3000));
                tell_all({n});
            }
            else if (it == fault::cut || it == fault::race || it == fault::flap)
            {
                tell_all({n}, it == fault::race);
                later_live_ = now_ + 400;
            }
            else if (it == fault::cold)
            {
                ++engine_run_;
                for (grant& each : grants_)
                {
                    each.over = each.over || each.running;
                }
            }
        }
        if (later_live_ != 0 && now_ >= later_live_)
        {
            later_live_ = 0;
            tell_all({});
        }
    }

    void kill(std::size_t n)
    {
        for (grant& it : grants_)
        {
            it.over = it.over || it.holder == n;
            it.released = it.released || it.holder == n;
        }
        start(n);
        tell_all({});
    }

    /// Tells the live members; with \p split only every second router sees the change.
    void tell_all(const std::set<std::size_t>& absent, bool split = false)
    {
        ++opinion_;
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
            post(n, static_cast<std::int64_t>(random_.below(1500)),
                 [=, this, number = opinion_]
                 {
                     if (number > routers_[n].opinion)
                     {
                         routers_[n].opinion = number;
                         act(n, routers_[n].agent->on_membership(seen, local(n)));
                     }
                 });
        }
    }

    void post(std::size_t to, std::int64_t delay, std::function<void()> act)
    {
        queue_.emplace(now_ + delay, event{to, routers_[to].self.incarnation, std::move(act)});
    }

    std::int64_t hop()
    {
        return static_cast<std::int64_t>(
            random_.below(plan_.active(fault::delay, now_) ? 1500 : 5));
    }

    void send(std::size_t from, const router_id& to_id, const std::function<void(std::size_t)>& act)
    {
        const std::size_t to = std::stoul(to_id.str().substr(1));
        const bool cut = plan_.active(fault::cut, now_) && (from == victim_ || to == victim_);
        const bool silent = plan_.active(fault::silent, now_) && from == victim_;
        const bool lost = plan_.active(fault::lost_answer, now_) && random_.below(3) == 0;
        if (from == to || !(cut || silent || lost))
        {
            post(to, hop(), [=] { act(to); });
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
            node.mapped().act();
        }
    }

    void act(std::size_t n, const view_actions& actions)
    {
        for (const view_action& action : actions)
        {
            std::visit([&](const auto& it) { perform(n, it); }, action);
        }
    }

    void perform(std::size_t n, const table_request& request)
    {
        post(n, hop(),
             [=, this]
             {
                 if (plan_.active(fault::store_down, now_) ||
                     (plan_.active(fault::cut, now_) && n == victim_))
                 {
                     return;
                 }
                 const table_result outcome = apply(request.operation);
                 if (!plan_.active(fault::lost_effect, now_) || random_.below(2) == 0)
                 {
                     post(n, hop(),
                          [=, this] {
                              act(n, routers_[n].agent->on_table_result(request.token, outcome,
                                                                        local(n)));
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
             { act(to, routers_[to].agent->on_message(content, local(to))); });
    }

    void perform(std::size_t, const view_adopted&) {}
    void perform(std::size_t n, const ownership_lost&) { routers_[n].owned.reset(); }

    void perform(std::size_t n, const ownership_acquired& takeover)
    {
        std::vector<router_id> ask;
        std::vector<member> to_ask;
        const bool nobody = takeover.previous_known && takeover.previous_owner.id.empty();
        for (const std::vector<member>* members :
             {&takeover.acquired_in->members, &takeover.acquired_in->previous})
        {
            for (const member& who : *members)
            {
                if (ask_holders_ && !nobody &&
                    std::find(ask.begin(), ask.end(), who.id) == ask.end())
                {
                    ask.push_back(who.id);
                    to_ask.push_back(who);
                }
            }
        }
        gate_config policy;
        policy.bound = {1.0, 0.0, 1.0, policy.bound.max_mean_age};
        routers_[n].owned.emplace(owner_side{
            engine_gate(policy, engine_, takeover.acquired_in->number, ask, local(n)), to_ask});
    }

    void step(std::size_t n)
    {
        router& it = routers_[n];
        act(n, it.agent->tick(local(n)));
        finish(n);
        if (it.owned)
        {
            it.owned->gate.update_mean({4.0, 1.0, {}}, local(n), local(n));
            own(n);
        }
        const view_pointer in = it.agent->current();
        const member* owner = in ? owner_of(*in, engine_) : nullptr;
        if (owner != nullptr && random_.below(3) == 0)
        {
            send(n, owner->id,
                 [=, this, asked = local(n), run = it.self.incarnation](std::size_t to)
                 { acquire(to, n, run, asked); });
        }
    }

    void own(std::size_t n)
    {
        owner_side& side = *routers_[n].owned;
        if (now_ % 240 == static_cast<std::int64_t>(n) * 20)
        {
            for (const member& who :
                 side.gate.is_rebuilding() ? side.to_ask : std::vector<member>{})
            {
                ask_held(n, who.id, {});
            }
            for (const router_id& who : side.gate.holders_to_reconcile({2000}, local(n)))
            {
                ask_held(n, who, local(n));
            }
        }
        if (now_ % 260 == static_cast<std::int64_t>(n) * 20)
        {
            const std::size_t lag = std::min<std::size_t>(random_.below(48), loads_.size());
            const std::uint32_t load = lag == 0 ? running() : loads_[loads_.size() - lag];
            post(n, hop(),
                 [=, this, run = engine_run_, asked = local(n)] {
                     report(n, {load, 0, run, false, !cold_}, asked);
                 });
        }
    }

    void report(std::size_t n, const engine_report& shown, time_point asked);

    /// \param reconcile When the question was asked; empty for the rebuild.
    void ask_held(std::size_t n, const router_id& who, std::optional<time_point> reconcile)
    {
        send(n, who,
             [=, this, number = routers_[n].agent->current()->number](std::size_t to)
             {
                 const view_pointer in = routers_[to].agent->current();
                 if (!in || in->number < number)
                 {
                     return;
                 }
                 std::vector<held_permit> held;
                 std::vector<permit_key> keys;
                 for (const grant& it : grants_)
                 {
                     if (it.holder == to && it.running && !it.released)
                     {
                         held.push_back({it.key, who, {}, {}});
                         keys.push_back(it.key);
                     }
                 }
                 send(to, routers_[n].self.id,
                      [=, this](std::size_t asker)
                      {
                          if (!routers_[asker].owned)
                          {
                              return;
                          }
                          engine_gate& gate = routers_[asker].owned->gate;
                          reconcile ? gate.reconcile(who, keys, *reconcile, local(asker))
                                    : gate.restore_permits(who, held, local(asker));
                      });
             });
    }

    void acquire(std::size_t n, std::size_t holder, std::uint64_t run, time_point asked)
    {
        router& it = routers_[n];
        const view_pointer in = it.agent->current();
        const member* listed = in ? find_member(in->members, routers_[holder].self.id) : nullptr;
        if (!it.owned || listed == nullptr || listed->incarnation != run)
        {
            return;
        }
        const time_point now = local(n);
        const bool right = !it.agent->may_issue(engine_, now);
        engine_gate& gate = it.owned->gate;
        gate.set_confirmed(in->number, right ? now + millis{1} : now, now);
        permit_request request;
        request.holder = listed->id;
        request.deadline = now + millis{60000};
        const permit_answer answer = gate.acquire(request, now);
        const permit* given = std::get_if<permit>(&answer);
        if (given == nullptr)
        {
            return;
        }
        ++issued_;
        const std::size_t number = grants_.size();
        grants_.push_back({{engine_, it.self.id, it.self.incarnation, in->number, number},
                           given->key,
                           holder,
                           run,
                           asked});
        const std::uint32_t load = running() + pending();
        if (load > cap())
        {
            failure_ = std::to_string(load) + " permits instead of " + std::to_string(cap()) +
                       " at " + std::to_string(now_) + " ms";
        }
        send(n, listed->id,
             [=, this](std::size_t)
             {
                 grants_[number].running = usable(grants_[number]);
                 grants_[number].over = !grants_[number].running;
             });
    }

    bool usable(const grant& it) const
    {
        const router& holder = routers_[it.holder];
        return !it.over && !it.running && holder.self.incarnation == it.holder_run &&
               !check_permit(it.stamp, *holder.agent->current(), it.asked, local(it.holder));
    }

    void finish(std::size_t n)
    {
        for (grant& it : grants_)
        {
            if (it.holder != n || it.released || it.holder_run != routers_[n].self.incarnation)
            {
                continue;
            }
            it.over = it.over || (it.running ? random_.below(50) == 0 : !usable(it));
            if (it.over)
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
                             routers_[to].owned->gate.release(key, done, local(to));
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
        return count([](const grant& it) { return it.running && !it.over; });
    }
    std::uint32_t pending() const
    {
        return count([this](const grant& it) { return usable(it); });
    }

    bool cold_;
    bool ask_holders_;
    bool faulty_ = false;
    seeded_random random_;
    fault_plan plan_;
    endpoint_id engine_{"e0"};
    std::uint64_t engine_run_ = 1;
    std::uint64_t incarnation_ = 0;
    std::deque<router> routers_;
    std::multimap<std::int64_t, event> queue_;
    std::vector<grant> grants_;
    std::vector<std::uint32_t> loads_;
    table_row row_{"", 0, ""};
    std::size_t issued_ = 0;
    std::size_t victim_ = 0;
    std::size_t opinion_ = 0;
    std::int64_t later_live_ = 0;
    std::int64_t now_ = 0;
    std::string failure_;
};

inline void region_run::report(std::size_t n, const engine_report& shown, time_point asked)
{
    if (routers_[n].owned)
    {
        routers_[n].owned->gate.apply_report(shown, asked, local(n));
    }
}

} // namespace matrix
