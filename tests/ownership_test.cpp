#include <catch2/catch.hpp>
#include <endivestage/core.hpp>
#include <endivestage/ownership.hpp>
#include <endivestage/ownership/internal/view_change.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace endivestage;

namespace
{

constexpr std::size_t max_permits = 2;
const std::vector<endpoint_id> endpoints{endpoint_id("e0"), endpoint_id("e1"), endpoint_id("e2")};

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

// State of a permit as the simulation sees it. The holder uses a valid permit when it receives it.
struct permit
{
    permit_stamp stamp;
    std::size_t holder = 0;
    std::uint64_t holder_run = 0;
    time_point requested_at; // clock of the holder
    time_point issued_at;    // clock of the owner
    bool running = false;
    bool finished = false;
};

struct endpoint_permits
{
    std::unique_ptr<owner_rebuild> rebuild;
    std::uint64_t ended_in = 0; // 0 while owned
    bool account_complete = false;
};

// One run of a router: its agent, the endpoints that it owns or owned, and the permits it issued.
struct router
{
    router(member own_entry, std::int64_t clock_epoch)
        : self(own_entry),
          epoch(clock_epoch),
          agent({}, region_id("test"), std::move(own_entry))
    {
    }

    member self;
    std::int64_t epoch;
    view_agent agent;
    std::map<endpoint_id, endpoint_permits> permits;
    std::set<std::size_t> outstanding; // indexes of the permits that it issued
    std::int64_t paused_until = 0;
    std::size_t live_version = 0;
};

// Simulates routers, their network, the table and the endpoints in steps of 20 ms.
class simulation
{
public:
    simulation(std::size_t count, std::uint64_t seed) : random_(seed), group_(count, 0)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            start(n);
        }
        set_live_everywhere();
    }

    void run(std::int64_t duration, bool faults)
    {
        for (const std::int64_t end = now_ + duration; now_ < end; now_ += 20)
        {
            if (faults && random_.below(25) == 0)
            {
                inject_fault();
            }
            deliver();
            for (std::size_t n = 0; n < routers_.size(); ++n)
            {
                step(n);
            }
            check();
            ++steps;
        }
    }

    // At most two faults are active: a new one replaces the one in its slot.
    void inject_fault()
    {
        const std::size_t slot = random_.below(2);
        repair(slot);
        const std::size_t n = random_.below(routers_.size());
        switch (random_.below(8))
        {
        case 0:
            pause(n, static_cast<std::int64_t>(random_.below(6000)));
            break;
        case 1:
            loss_[slot] = 10 + random_.below(40);
            break;
        case 2:
            delay_[slot] = random_.below(1500);
            break;
        case 3:
            partition(slot);
            break;
        case 4:
            store_down_[slot] = true;
            break;
        case 5:
            lost_answers_[slot] = true;
            break;
        case 6:
            crash(n);
            break;
        default:
            disturb_detector(n);
        }
    }

    void repair(std::size_t slot)
    {
        loss_[slot] = 0;
        delay_[slot] = 0;
        store_down_[slot] = false;
        lost_answers_[slot] = false;
        if (partition_slot_ == slot)
        {
            std::fill(group_.begin(), group_.end(), 0);
            cut_.clear();
        }
        set_live_everywhere();
    }

    void repair_all()
    {
        partition_slot_ = 0;
        repair(0);
        repair(1);
        for (router& it : runs())
        {
            it.paused_until = now_;
        }
    }

    void set_store_down(bool down) { store_down_[0] = down; }

    // Returns the number of endpoints for which exactly one router may issue permits now.
    std::size_t served_endpoints() const
    {
        return static_cast<std::size_t>(std::count_if(
            endpoints.begin(), endpoints.end(),
            [&](const endpoint_id& endpoint) { return count_issuers(endpoint, true) == 1; }));
    }

    static inline std::size_t steps = 0;
    static inline std::size_t issued = 0;
    static inline std::size_t takeovers = 0;

private:
    struct event
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t to_run = 0;
        std::function<void()> act;
    };

    time_point local(std::size_t n) const { return {now_ + routers_[n]->epoch}; }
    std::vector<std::reference_wrapper<router>> runs() const
    {
        std::vector<std::reference_wrapper<router>> all;
        for (const std::unique_ptr<router>& it : routers_)
        {
            all.emplace_back(*it);
        }
        return all;
    }

    void start(std::size_t n)
    {
        routers_.resize(std::max(routers_.size(), n + 1));
        const std::int64_t epoch = static_cast<std::int64_t>(random_.below(1000000));
        routers_[n] = std::make_unique<router>(make_member(n, ++incarnation_), epoch);
        act(n, routers_[n]->agent.set_endpoints(endpoints, local(n)));
    }

    void crash(std::size_t n)
    {
        for (permit& it : permits_)
        {
            it.finished = it.finished || it.holder == n;
        }
        start(n);
        set_live_everywhere();
    }

    // Also delays some messages that the router has sent, since a pause can occur between a
    // decision and the message that announces it.
    void pause(std::size_t n, std::int64_t duration)
    {
        routers_[n]->paused_until = now_ + duration;
        std::vector<std::multimap<std::int64_t, event>::node_type> stuck;
        for (auto it = queue_.begin(); it != queue_.end();)
        {
            const auto next = std::next(it);
            if (it->second.from == n && random_.below(2) == 0)
            {
                stuck.push_back(queue_.extract(it));
                stuck.back().key() += duration;
            }
            it = next;
        }
        for (auto& it : stuck)
        {
            queue_.insert(std::move(it));
        }
    }

    // Cuts single links, also in one direction only, or all links between two groups. Routers
    // outside group 0 do not reach the store.
    void partition(std::size_t slot)
    {
        partition_slot_ = slot;
        const bool single = random_.below(2) == 0;
        for (std::size_t& it : group_)
        {
            it = random_.below(2);
        }
        cut_.clear();
        for (std::size_t from = 0; from < routers_.size(); ++from)
        {
            for (std::size_t to = 0; to < routers_.size(); ++to)
            {
                if (single ? random_.below(3) == 0 : group_[from] != group_[to])
                {
                    cut_.emplace(from, to);
                }
            }
        }
        for (std::size_t n = 0; n < routers_.size(); ++n)
        {
            std::vector<member> seen;
            for (std::size_t other = 0; other < routers_.size(); ++other)
            {
                if (other == n || !cut_.contains({other, n}))
                {
                    seen.push_back(routers_[other]->self);
                }
            }
            set_live(n, seen);
        }
    }

    // The failure detector of one router considers others dead or leaving.
    void disturb_detector(std::size_t n)
    {
        std::vector<member> seen;
        for (router& it : runs())
        {
            if (it.self.id == routers_[n]->self.id || random_.below(3) != 0)
            {
                seen.push_back(it.self);
                seen.back().leaving = random_.below(6) == 0;
            }
        }
        set_live(n, seen);
    }

    void set_live_everywhere()
    {
        std::vector<member> all;
        for (router& it : runs())
        {
            all.push_back(it.self);
        }
        for (std::size_t n = 0; n < routers_.size(); ++n)
        {
            set_live(n, all);
        }
    }

    void set_live(std::size_t n, const std::vector<member>& seen)
    {
        // The newest list is valid, in whatever order the lists arrive.
        const std::size_t version = ++live_version_;
        post(n, n, static_cast<std::int64_t>(random_.below(1500)),
             [=, this]
             {
                 if (version > routers_[n]->live_version)
                 {
                     routers_[n]->live_version = version;
                     act(n, routers_[n]->agent.on_membership(seen, local(n)));
                 }
             });
    }

    void post(std::size_t from, std::size_t to, std::int64_t delay, std::function<void()> act)
    {
        queue_.emplace(now_ + delay,
                       event{from, to, routers_[to]->self.incarnation, std::move(act)});
    }

    bool lost(std::size_t from, std::size_t to)
    {
        return cut_.contains({from, to}) || random_.below(100) < loss_[0] + loss_[1];
    }

    void send(std::size_t from, const router_id& to_id, std::function<void(std::size_t)> act)
    {
        const std::size_t to = std::stoul(to_id.str().substr(1));
        if (to < routers_.size() && (from == to || !lost(from, to)))
        {
            post(from, to, static_cast<std::int64_t>(random_.below(5 + delay_[0] + delay_[1])),
                 [to, act = std::move(act)] { act(to); });
        }
    }

    void deliver()
    {
        while (!queue_.empty() && queue_.begin()->first <= now_)
        {
            auto node = queue_.extract(queue_.begin());
            const event& it = node.mapped();
            const router& to = *routers_[it.to];
            if (to.self.incarnation != it.to_run)
            {
                continue;
            }
            if (to.paused_until > now_)
            {
                node.key() = to.paused_until;
                queue_.insert(std::move(node));
                continue;
            }
            it.act();
            check();
        }
    }

    // The table applies an operation after a delay; its result is delayed again and may be lost.
    void run_table_operation(std::size_t n, const table_request& request)
    {
        if (store_down_[0] || store_down_[1] || group_[n] != 0)
        {
            return;
        }
        const std::uint64_t token = request.token;
        const table_result outcome = apply(request.operation);
        if ((lost_answers_[0] || lost_answers_[1]) && random_.below(2) == 0)
        {
            return;
        }
        post(n, n, static_cast<std::int64_t>(random_.below(20 + delay_[0] + delay_[1])),
             [=, this] { act(n, routers_[n]->agent.on_table_result(token, outcome, local(n))); });
    }

    table_result apply(const table_operation& operation)
    {
        using kind = table_operation::kind;
        if (operation.what != kind::insert && row_.version == 0)
        {
            return {table_result::outcome::not_found, row_};
        }
        const bool condition_holds = operation.what == kind::insert
                                         ? row_.version == 0
                                         : operation.expected_version == row_.version;
        if (operation.what != kind::read && !condition_holds)
        {
            return {table_result::outcome::conflict, row_};
        }
        if (operation.what != kind::read)
        {
            row_ = {operation.key, row_.version + 1, operation.value};
        }
        return {table_result::outcome::applied, row_};
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
        post(n, n, static_cast<std::int64_t>(random_.below(20 + delay_[0])),
             [=, this] { run_table_operation(n, request); });
    }

    template <class Message>
    void perform(std::size_t n, const send_message<Message>& message)
    {
        send(n, message.to.id,
             [this, content = message.content](std::size_t to)
             { act(to, routers_[to]->agent.on_message(content, local(to))); });
    }

    void perform(std::size_t n, const view_adopted& change)
    {
        for (const member& entry : change.adopted->members)
        {
            for (auto& [endpoint, it] : routers_[n]->permits)
            {
                it.rebuild->on_run_ended(entry.id, entry.incarnation - 1);
            }
        }
    }

    void perform(std::size_t n, const ownership_acquired& takeover)
    {
        ++takeovers;
        endpoint_permits& it = routers_[n]->permits[takeover.endpoint];
        it = {std::make_unique<owner_rebuild>(rebuild_config{}, takeover), 0, false};
    }

    void perform(std::size_t n, const ownership_lost& stop)
    {
        endpoint_permits& it = routers_[n]->permits.at(stop.endpoint);
        it.ended_in = stop.ended_in;
        it.account_complete = stop.account_complete && it.rebuild->is_settled();
    }

    void step(std::size_t n)
    {
        router& it = *routers_[n];
        if (it.paused_until > now_)
        {
            return;
        }
        act(n, it.agent.tick(local(n)));
        finish_permits(n);
        for (auto& [endpoint, state] : it.permits)
        {
            rebuild(n, endpoint, state);
        }
        if (random_.below(2) == 0 && it.agent.current())
        {
            request_permit(n, endpoints[random_.below(endpoints.size())]);
        }
    }

    void rebuild(std::size_t n, const endpoint_id& endpoint, endpoint_permits& state)
    {
        for (const member& entry : state.rebuild->tick(local(n)))
        {
            send(n, entry.id,
                 [=, this, takeover_view = routers_[n]->agent.current()](std::size_t to)
                 { answer_held_permits(to, n, endpoint, takeover_view); });
        }
        if (state.ended_in == 0 && now_ % 260 == 0)
        {
            const time_point requested_at = local(n);
            const std::size_t past = random_.below(50);
            post(n, n, static_cast<std::int64_t>(random_.below(20 + delay_[0])),
                 [=, this, load = load_at(endpoint, past)]
                 { report(n, endpoint, load, requested_at); });
        }
    }

    // The holder adopts the view of the owner before it answers.
    void answer_held_permits(std::size_t n, std::size_t asker, const endpoint_id& endpoint,
                             const view_pointer& takeover_view)
    {
        router& it = *routers_[n];
        act(n, it.agent.on_message(view_announce{{routers_[asker]->self.id, 0}, takeover_view, {}},
                                   local(n)));
        held_permits_answer answer{
            {it.self.id, it.self.incarnation}, it.agent.current()->number, {}, {}};
        for (const permit& held : permits_)
        {
            if (held.running && !held.finished && held.holder == n &&
                held.stamp.endpoint == endpoint)
            {
                answer.permits.push_back({held.stamp, answer.from});
            }
        }
        const auto state = it.permits.find(endpoint);
        if (state != it.permits.end() && state->second.ended_in != 0)
        {
            answer.account = account(it, endpoint, state->second);
        }
        send(n, routers_[asker]->self.id,
             [=, this](std::size_t to)
             {
                 const auto found = routers_[to]->permits.find(endpoint);
                 if (found != routers_[to]->permits.end())
                 {
                     found->second.rebuild->on_answer(answer, local(to));
                 }
             });
    }

    owner_account account(const router& it, const endpoint_id& endpoint,
                          const endpoint_permits& state)
    {
        owner_account result{state.ended_in, state.account_complete,
                             state.rebuild->known_permits()};
        for (const std::size_t number : it.outstanding)
        {
            const permit& own = permits_[number];
            if (own.stamp.endpoint == endpoint)
            {
                result.outstanding.push_back(
                    {own.stamp, {make_member(own.holder).id, own.holder_run}});
            }
        }
        return result;
    }

    void report(std::size_t n, const endpoint_id& endpoint, std::size_t load,
                time_point requested_at)
    {
        router& it = *routers_[n];
        std::vector<permit_stamp> used;
        for (const std::size_t number : it.outstanding)
        {
            const permit& own = permits_[number];
            if (own.stamp.endpoint == endpoint && requested_at - own.issued_at >= millis{2000})
            {
                used.push_back(own.stamp);
            }
        }
        it.permits.at(endpoint).rebuild->on_load_report(load, requested_at, used);
    }

    std::size_t load_at(const endpoint_id& endpoint, std::size_t steps_ago) const
    {
        const auto found = loads_.find(endpoint);
        const std::size_t size = found == loads_.end() ? 0 : found->second.size();
        return size > steps_ago ? found->second[size - 1 - steps_ago] : 0;
    }

    void request_permit(std::size_t n, const endpoint_id& endpoint)
    {
        const member* owner = owner_of(*routers_[n]->agent.current(), endpoint);
        const time_point requested_at = local(n);
        const std::uint64_t run = routers_[n]->self.incarnation;
        if (owner != nullptr)
        {
            send(n, owner->id,
                 [=, this](std::size_t to) { issue(to, endpoint, n, run, requested_at); });
        }
    }

    std::size_t count_permits(const router& it, const endpoint_id& endpoint) const
    {
        const owner_rebuild& rebuild = *it.permits.at(endpoint).rebuild;
        const auto own = std::count_if(it.outstanding.begin(), it.outstanding.end(),
                                       [&](std::size_t number)
                                       { return permits_[number].stamp.endpoint == endpoint; });
        return static_cast<std::size_t>(own) + rebuild.known_permits().size() +
               rebuild.unexplained_load();
    }

    void issue(std::size_t n, const endpoint_id& endpoint, std::size_t holder, std::uint64_t run,
               time_point requested_at)
    {
        router& it = *routers_[n];
        const view_pointer current = it.agent.current();
        const member* listed =
            current ? find_member(current->members, make_member(holder).id) : nullptr;
        // Only members get permits, because a new owner asks only the members which permits they
        // hold.
        if (it.agent.may_issue(endpoint, local(n)) ||
            !it.permits.at(endpoint).rebuild->is_complete() ||
            count_permits(it, endpoint) >= max_permits || listed == nullptr ||
            listed->incarnation != run)
        {
            return;
        }
        const std::size_t number = permits_.size();
        permits_.push_back({{endpoint, it.self.id, it.self.incarnation, current->number, number},
                            holder,
                            run,
                            requested_at,
                            local(n),
                            false,
                            false});
        it.outstanding.insert(number);
        ++issued;
        send(n, listed->id, [=, this](std::size_t) { use(number); });
    }

    bool is_usable(const permit& it) const
    {
        const router& holder = *routers_[it.holder];
        return !it.finished && !it.running && holder.self.incarnation == it.holder_run &&
               !check_permit(it.stamp, *holder.agent.current(), it.requested_at, local(it.holder));
    }

    void use(std::size_t number)
    {
        permits_[number].running = is_usable(permits_[number]);
        permits_[number].finished = !permits_[number].running;
    }

    // Ends requests at random, and returns permits that are finished or can no longer be used.
    void finish_permits(std::size_t n)
    {
        for (std::size_t number = first_unfinished_; number < permits_.size(); ++number)
        {
            permit& it = permits_[number];
            if (it.holder != n || it.holder_run != routers_[n]->self.incarnation)
            {
                continue;
            }
            it.finished = it.finished || (it.running ? random_.below(100) == 0 : !is_usable(it));
            if (it.finished && random_.below(5) == 0)
            {
                release(n, number);
            }
        }
        while (first_unfinished_ < permits_.size() && permits_[first_unfinished_].finished &&
               permits_.size() - first_unfinished_ > 200)
        {
            ++first_unfinished_;
        }
    }

    void release(std::size_t n, std::size_t number)
    {
        const permit_stamp stamp = permits_[number].stamp;
        const auto record_return = [=, this](std::size_t to)
        {
            routers_[to]->outstanding.erase(number);
            const auto found = routers_[to]->permits.find(stamp.endpoint);
            if (found != routers_[to]->permits.end())
            {
                found->second.rebuild->on_permit_returned(stamp);
            }
        };
        send(n, stamp.owner, record_return);
        if (const member* owner = owner_of(*routers_[n]->agent.current(), stamp.endpoint))
        {
            send(n, owner->id, record_return);
        }
    }

    std::size_t count_issuers(const endpoint_id& endpoint, bool rebuilt) const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < routers_.size(); ++n)
        {
            const bool issues = !routers_[n]->agent.may_issue(endpoint, local(n));
            count +=
                issues && (!rebuilt || routers_[n]->permits.at(endpoint).rebuild->is_complete());
        }
        return count;
    }

    void check()
    {
        for (const endpoint_id& endpoint : endpoints)
        {
            if (count_issuers(endpoint, false) > 1)
            {
                FAIL("two issuers for " << endpoint.str() << " at " << now_ << " ms");
            }
            std::size_t running = 0;
            std::size_t pending = 0;
            for (std::size_t number = first_unfinished_; number < permits_.size(); ++number)
            {
                const permit& it = permits_[number];
                if (it.stamp.endpoint == endpoint)
                {
                    running += it.running && !it.finished;
                    pending += is_usable(it);
                }
            }
            if (running + pending > max_permits)
            {
                FAIL("running " << running << " and usable " << pending << " for " << endpoint.str()
                                << " at " << now_ << " ms");
            }
            if (loads_at_ < now_ || loads_[endpoint].empty())
            {
                loads_[endpoint].push_back(running);
            }
        }
        loads_at_ = now_;
    }

    std::int64_t now_ = 0;
    seeded_random random_;
    std::vector<std::unique_ptr<router>> routers_;
    std::uint64_t incarnation_ = 0;
    std::size_t live_version_ = 0;
    std::multimap<std::int64_t, event> queue_;
    table_row row_{"", 0, ""};
    std::uint64_t loss_[2] = {0, 0};
    std::uint64_t delay_[2] = {0, 0};
    bool store_down_[2] = {false, false};
    bool lost_answers_[2] = {false, false};
    std::size_t partition_slot_ = 0;
    std::vector<std::size_t> group_; // only group 0 reaches the store
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::vector<permit> permits_;
    std::size_t first_unfinished_ = 0;
    std::map<endpoint_id, std::vector<std::size_t>> loads_;
    std::int64_t loads_at_ = -1;
};

std::size_t read_number(const char* name, std::size_t default_value)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): tests have one thread.
    return text == nullptr ? default_value : std::stoul(text);
}

std::size_t run_count()
{
    return read_number("ENDIVESTAGE_RUNS", 120);
}

std::size_t first_seed()
{
    return read_number("ENDIVESTAGE_SEED", 0);
}

} // namespace

// Guards against an overloaded endpoint, by two owners that issue permits at the same time or by
// permits of the previous owner that a new owner does not count.
TEST_CASE("no endpoint gets more permits than its limit under any two faults")
{
    for (std::size_t seed = first_seed(); seed < first_seed() + run_count(); ++seed)
    {
        INFO("ENDIVESTAGE_SEED=" << seed);
        simulation fleet(3 + seed % 7, seed);
        fleet.run(4000, false);
        fleet.run(30000, true);
        fleet.repair_all();
        // The last router in the ranking waits 9 times 2 s; a view change and a rebuild follow.
        for (int seconds = 0; seconds < 30 && fleet.served_endpoints() < endpoints.size();
             ++seconds)
        {
            fleet.run(1000, false);
        }
        REQUIRE(fleet.served_endpoints() == endpoints.size());
    }
    std::cout << "interleavings: steps=" << simulation::steps << " permits=" << simulation::issued
              << " takeovers=" << simulation::takeovers << '\n';
    REQUIRE(simulation::issued > 0);
}

// Guards against owners that stop during an outage of the store, when no other router can take
// over.
TEST_CASE("owners continue while the store is down")
{
    simulation fleet(5, 7);
    fleet.run(5000, false);
    REQUIRE(fleet.served_endpoints() == endpoints.size());
    fleet.set_store_down(true);
    for (int seconds = 0; seconds < 30; ++seconds)
    {
        fleet.run(1000, false);
        REQUIRE(fleet.served_endpoints() == endpoints.size());
    }
}

// Guards against a row that another router cannot decode, and against malformed text that stops a
// router.
TEST_CASE("views survive encoding and malformed views are rejected")
{
    rc::prop("decoding returns the encoded view; truncated text is an error",
             [](std::uint64_t number, bool preparing)
             {
                 const std::vector<std::size_t> ids =
                     *rc::gen::unique<std::vector<std::size_t>>(rc::gen::inRange(0, 9));
                 view sent{number,
                           preparing ? view_state::preparing : view_state::active,
                           region_id("region"),
                           {},
                           {}};
                 for (std::size_t n = 0; n < 9; ++n)
                 {
                     const bool listed = std::find(ids.begin(), ids.end(), n) != ids.end();
                     if (listed || n % 2 == 0)
                     {
                         sent.members.push_back(make_member(n, listed ? 3 : 2));
                     }
                     if (listed || n % 3 == 0)
                     {
                         sent.previous.push_back(make_member(n, 2));
                     }
                 }
                 const std::string text = encode_view(sent);
                 RC_ASSERT(decode_view(text).value() == sent);
                 const std::size_t cut = *rc::gen::inRange<std::size_t>(0, text.size());
                 RC_ASSERT(decode_view(text.substr(0, cut)).error() == errc::invalid_request);
             });
}

namespace
{

std::vector<member> make_members(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t n = 0; n < count; ++n)
    {
        members.push_back(make_member(n));
    }
    return members;
}

view_pointer make_view(std::uint64_t number, view_state state, std::vector<member> members,
                       std::vector<member> previous)
{
    return std::make_shared<const view>(
        view{number, state, region_id("test"), std::move(members), std::move(previous)});
}

} // namespace

// Guards against witnesses that fail together with the zone of the member that they confirm views
// to.
TEST_CASE("a zone holds a minority of a member's witnesses")
{
    const std::vector<member> members = make_members(12);
    for (const member& entry : members)
    {
        std::map<zone_id, int> zones;
        for (const member& witness : witnesses_of(members, entry.id))
        {
            REQUIRE(witness.id != entry.id);
            REQUIRE(++zones[witness.zone] <= 2);
        }
        REQUIRE(witnesses_of(members, entry.id).size() == max_witnesses);
    }
}

// Guards against a leaving router that still owns endpoints, and against moves of other endpoints.
TEST_CASE("a leaving member owns no endpoint and no other endpoints move")
{
    std::vector<member> members = make_members(6);
    const std::vector<member> before = members;
    members[2].leaving = true;
    for (std::size_t n = 0; n < 200; ++n)
    {
        const endpoint_id endpoint("engine-" + std::to_string(n));
        const router_id owner = owner_of(before, endpoint)->id;
        const router_id after = owner_of(members, endpoint)->id;
        REQUIRE(after != members[2].id);
        REQUIRE((owner == members[2].id || after == owner));
    }
}

// Guards against a member that has only adopted an older view: its old witnesses could go on to
// confirm that view while its witnesses in the current view let a later change pass.
TEST_CASE("a change waits for members whose witnesses change")
{
    std::vector<member> members = make_members(9);
    const std::vector<member> previous = members;
    members.erase(members.begin() + 4);
    const view_pointer target = make_view(2, view_state::preparing, members, previous);
    internal::view_change change(target, time_point{0});
    std::vector<member> silent;
    for (const member& entry : members)
    {
        const std::vector<member> before = witnesses_of(previous, entry.id);
        if (find_member(before, previous[4].id) != nullptr && silent.empty())
        {
            silent = before;
            silent.push_back(entry);
        }
    }
    REQUIRE(!silent.empty());
    change.record_acknowledgement({previous[4].id, 1}, time_point{10});
    for (const member& entry : members)
    {
        if (find_member(silent, entry.id) == nullptr)
        {
            change.record_acknowledgement({entry.id, 1}, time_point{10});
        }
    }
    REQUIRE(!change.ready_at(millis{2500}));
    for (const member& entry : silent)
    {
        change.record_acknowledgement({entry.id, 1}, time_point{20});
    }
    REQUIRE(change.ready_at(millis{2500}) == time_point{0});
}

// Guards against a view that becomes active before the confirmation of a silent owner has expired.
TEST_CASE("a change waits until the confirmation of a silent previous owner has expired")
{
    std::vector<member> members = make_members(4);
    const std::vector<member> previous = members;
    members.pop_back();
    internal::view_change change(make_view(2, view_state::preparing, members, previous),
                                 time_point{100});
    change.record_acknowledgement({members[0].id, 1}, time_point{100});
    REQUIRE(!change.ready_at(millis{2500}));
    change.record_acknowledgement({members[1].id, 1}, time_point{300});
    change.record_acknowledgement({members[2].id, 1}, time_point{400});
    REQUIRE(change.ready_at(millis{2500}) == time_point{2800});
    // An acknowledgement by a later run of the owner shows that the run in the view has ended.
    change.record_acknowledgement({previous[3].id, 2}, time_point{500});
    REQUIRE(change.ready_at(millis{2500}) == time_point{100});
}

// Guards against an owner that skipped views, during which another router may have issued permits.
TEST_CASE("an owner that skipped two views takes over its endpoints again")
{
    const std::vector<member> members = make_members(3);
    const member self = *owner_of(members, endpoints[0]);
    view_agent agent({}, region_id("test"), self);
    agent.set_endpoints(std::vector<endpoint_id>{endpoints[0]}, time_point{0});
    const auto takeovers = [&](std::uint64_t number)
    {
        const view_announce announcement{
            {}, make_view(number, view_state::active, members, members), router_id()};
        const view_actions actions = agent.on_message(announcement, time_point{0});
        return std::count_if(actions.begin(), actions.end(),
                             [](const view_action& it)
                             { return std::holds_alternative<ownership_acquired>(it); });
    };
    REQUIRE(takeovers(2) == 1);
    REQUIRE(takeovers(4) == 0);
    REQUIRE(takeovers(7) == 1);
}

namespace
{

// Returns a takeover by r1 from r0, which is still a member.
ownership_acquired make_takeover()
{
    const std::vector<member> members = make_members(3);
    return {endpoint_id("e"),
            make_view(2, view_state::active, members, members),
            time_point{0},
            true,
            {make_member(0).id, 1}};
}

held_permits_answer make_answer(std::size_t n, std::uint64_t view_number)
{
    return {{make_member(n).id, 1}, view_number, {}, {}};
}

} // namespace

// Guards against a new owner that issues while a router that has not adopted the view may still use
// permits of the previous owner.
TEST_CASE("a rebuild is complete after all answers and the previous owner's account")
{
    owner_rebuild rebuild({}, make_takeover());
    REQUIRE(rebuild.tick(time_point{0}).size() == 3);
    rebuild.on_answer(make_answer(1, 2), time_point{1});
    rebuild.on_answer(make_answer(2, 1), time_point{1});
    held_permits_answer previous = make_answer(0, 2);
    const permit_stamp elsewhere{endpoint_id("e"), make_member(0).id, 1, 1, 5};
    previous.account = owner_account{2, true, {{elsewhere, {make_member(8).id, 1}}}};
    rebuild.on_answer(previous, time_point{1});
    REQUIRE(!rebuild.is_complete());
    rebuild.on_answer(make_answer(2, 2), time_point{2});
    REQUIRE(rebuild.is_complete());
    REQUIRE(rebuild.known_permits().size() == 1);
}

// Guards against load that is attributed to a returned permit although the permit's request ended
// before the report. The first test of this file failed with seed 1215 for this reason.
TEST_CASE("a returned permit no longer explains reported load")
{
    owner_rebuild rebuild({}, make_takeover());
    held_permits_answer held = make_answer(2, 2);
    const permit_stamp stamp{endpoint_id("e"), make_member(0).id, 1, 1, 5};
    held.permits.push_back({stamp, held.from});
    rebuild.on_answer(held, time_point{1});
    rebuild.on_load_report(1, time_point{1999}, {});
    REQUIRE(!rebuild.is_complete());
    rebuild.on_load_report(1, time_point{2000}, {});
    REQUIRE(rebuild.is_complete());
    REQUIRE(rebuild.unexplained_load() == 0);
    rebuild.on_permit_returned(stamp);
    REQUIRE(rebuild.unexplained_load() == 1);
    REQUIRE(!rebuild.is_settled());
    rebuild.on_load_report(0, time_point{2500}, {});
    REQUIRE(rebuild.is_settled());
}

// Guards against a witness that confirms a view after it has adopted a newer one (R2). The first
// test of this file finds this only in rare interleavings.
TEST_CASE("a witness never confirms a view older than its own")
{
    const std::vector<member> members = make_members(3);
    view_agent agent({}, region_id("test"), members[1]);
    const auto ask = [&](std::uint64_t number)
    {
        const view_actions actions = agent.on_message(
            confirm_request{{members[0].id, 1}, 7, number, view_state::active}, time_point{0});
        return std::get<send_message<confirm_answer>>(actions.front()).content;
    };
    REQUIRE(ask(1).confirmed);
    const view_pointer newer = make_view(2, view_state::preparing, members, members);
    agent.on_message(view_announce{{}, newer, router_id()}, time_point{0});
    REQUIRE(!ask(1).confirmed);
    REQUIRE(ask(1).newest == newer);
    REQUIRE(ask(2).confirmed);
}

// Guards against a restarted router that removes all other members, because its list of live
// routers is older than the view that it has just read.
TEST_CASE("a view that was just adopted is not changed from an older list of live routers")
{
    const std::vector<member> members{make_member(0), make_member(1), make_member(2)};
    view_agent agent({}, region_id("test"), members[0]);
    agent.on_membership(std::vector<member>{members[0]}, time_point{0});
    const view stored{5, view_state::active, region_id("test"), members, {}};
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::vector<table_request> requests;
    const auto collect = [&](const view_actions& actions)
    {
        for (const view_action& action : actions)
        {
            if (const table_request* request = std::get_if<table_request>(&action))
            {
                const bool is_read = request->operation.what == table_operation::kind::read;
                ++(is_read ? reads : writes);
                requests.push_back(*request);
            }
        }
    };
    for (std::int64_t now = 0; now < 1000; now += 50)
    {
        collect(agent.tick(time_point{now}));
        for (const table_request& request : std::exchange(requests, {}))
        {
            table_result answer;
            answer.what = table_result::outcome::applied;
            answer.row = {request.operation.key, 9, encode_view(stored)};
            collect(agent.on_table_result(request.token, answer, time_point{now + 5}));
        }
        if (now >= 50)
        {
            collect(agent.on_membership(members, time_point{now + 10}));
        }
    }
    REQUIRE(reads > 0);
    REQUIRE(writes == 0);
}
