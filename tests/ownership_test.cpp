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

constexpr std::size_t limit = 2;
const std::vector<endpoint_id> engines{endpoint_id("e0"), endpoint_id("e1"), endpoint_id("e2")};

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

// A permit, seen from outside. It is used immediately when the holder finds it valid.
struct permit
{
    permit_stamp stamp;
    std::size_t holder = 0;
    std::uint64_t holder_run = 0;
    time_point asked;  // holder's clock
    time_point issued; // owner's clock
    bool running = false;
    bool over = false;
};

struct engine_count
{
    std::unique_ptr<owner_rebuild> rebuild;
    std::uint64_t ended_in = 0; // 0 while owned
    bool complete_account = false;
};

// One run of a router: agent, counts as an owner, permits as a holder.
struct router
{
    router(member who, std::int64_t clock_epoch)
        : self(who),
          epoch(clock_epoch),
          agent({}, region_id("test"), std::move(who))
    {
    }

    member self;
    std::int64_t epoch;
    view_agent agent;
    std::map<endpoint_id, engine_count> counts;
    std::set<std::size_t> outstanding; // numbers of permits that it issued
    std::int64_t frozen_until = 0;
    std::size_t live_version = 0;
};

// Routers, their network, the table and the engines, with time stepped by hand.
class world
{
public:
    world(std::size_t count, std::uint64_t seed) : random_(seed), group_(count, 0)
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
                fault();
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

    // Two faults at a time: a new one replaces the older of the two.
    void fault()
    {
        const std::size_t slot = random_.below(2);
        repair(slot);
        const std::size_t n = random_.below(routers_.size());
        switch (random_.below(8))
        {
        case 0:
            freeze(n, static_cast<std::int64_t>(random_.below(6000)));
            break;
        case 1:
            loss_[slot] = 10 + random_.below(40);
            break;
        case 2:
            delay_[slot] = random_.below(1500);
            break;
        case 3:
            split(slot);
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
            disagree(n);
        }
    }

    void repair(std::size_t slot)
    {
        loss_[slot] = 0;
        delay_[slot] = 0;
        store_down_[slot] = false;
        lost_answers_[slot] = false;
        if (split_by_ == slot)
        {
            std::fill(group_.begin(), group_.end(), 0);
            cut_.clear();
        }
        set_live_everywhere();
    }

    void heal()
    {
        split_by_ = 0;
        repair(0);
        repair(1);
        for (router& it : runs())
        {
            it.frozen_until = now_;
        }
    }

    void set_store_down(bool down) { store_down_[0] = down; }

    // Engines that a router may issue permits for at this instant.
    std::size_t served() const
    {
        return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
                                                      [&](const endpoint_id& engine)
                                                      { return issuers(engine, true) == 1; }));
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
        act(n, routers_[n]->agent.set_endpoints(engines, local(n)));
    }

    void crash(std::size_t n)
    {
        for (permit& it : permits_)
        {
            it.over = it.over || it.holder == n;
        }
        start(n);
        set_live_everywhere();
    }

    // A pause can fall between a decision and the message that tells it.
    void freeze(std::size_t n, std::int64_t duration)
    {
        routers_[n]->frozen_until = now_ + duration;
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

    // Cuts single links, also in one direction, or all links between two groups. Cut off from the
    // store are the routers outside group 0.
    void split(std::size_t slot)
    {
        split_by_ = slot;
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
            tell_live(n, seen);
        }
    }

    // One router's failure detector holds others dead or leaving.
    void disagree(std::size_t n)
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
        tell_live(n, seen);
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
            tell_live(n, all);
        }
    }

    void tell_live(std::size_t n, const std::vector<member>& seen)
    {
        // The newest opinion counts, in whatever order they arrive.
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
            if (to.frozen_until > now_)
            {
                node.key() = to.frozen_until;
                queue_.insert(std::move(node));
                continue;
            }
            it.act();
            check();
        }
    }

    // The table applies an operation after a delay; its answer takes another and may be lost.
    void run_table(std::size_t n, const table_request& request)
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
        const bool fits = operation.what == kind::insert
                              ? row_.version == 0
                              : operation.expected_version == row_.version;
        if (operation.what != kind::read && !fits)
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
             [=, this] { run_table(n, request); });
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
        for (const member& who : change.adopted->members)
        {
            for (auto& [engine, it] : routers_[n]->counts)
            {
                it.rebuild->on_run_ended(who.id, who.incarnation - 1);
            }
        }
    }

    void perform(std::size_t n, const ownership_acquired& takeover)
    {
        ++takeovers;
        engine_count& it = routers_[n]->counts[takeover.endpoint];
        it = {std::make_unique<owner_rebuild>(rebuild_config{}, takeover), 0, false};
    }

    void perform(std::size_t n, const ownership_lost& stop)
    {
        engine_count& it = routers_[n]->counts.at(stop.endpoint);
        it.ended_in = stop.ended_in;
        it.complete_account = stop.account_complete && it.rebuild->is_settled();
    }

    void step(std::size_t n)
    {
        router& it = *routers_[n];
        if (it.frozen_until > now_)
        {
            return;
        }
        act(n, it.agent.tick(local(n)));
        finish_permits(n);
        for (auto& [engine, count] : it.counts)
        {
            rebuild(n, engine, count);
        }
        if (random_.below(2) == 0 && it.agent.current())
        {
            request_permit(n, engines[random_.below(engines.size())]);
        }
    }

    void rebuild(std::size_t n, const endpoint_id& engine, engine_count& count)
    {
        for (const member& who : count.rebuild->tick(local(n)))
        {
            send(n, who.id,
                 [=, this, in = routers_[n]->agent.current()](std::size_t to)
                 { answer_held(to, n, engine, in); });
        }
        if (count.ended_in == 0 && now_ % 260 == 0)
        {
            const time_point asked = local(n);
            const std::size_t past = random_.below(50);
            post(n, n, static_cast<std::int64_t>(random_.below(20 + delay_[0])),
                 [=, this, load = load_at(engine, past)] { report(n, engine, load, asked); });
        }
    }

    // The holder learns the owner's view before it answers.
    void answer_held(std::size_t n, std::size_t asker, const endpoint_id& engine,
                     const view_pointer& in)
    {
        router& it = *routers_[n];
        act(n, it.agent.on_message(view_announce{{routers_[asker]->self.id, 0}, in, {}}, local(n)));
        held_permits_answer answer{
            {it.self.id, it.self.incarnation}, it.agent.current()->number, {}, {}};
        for (const permit& held : permits_)
        {
            if (held.running && !held.over && held.holder == n && held.stamp.endpoint == engine)
            {
                answer.permits.push_back({held.stamp, answer.from});
            }
        }
        const auto count = it.counts.find(engine);
        if (count != it.counts.end() && count->second.ended_in != 0)
        {
            answer.account = account(it, engine, count->second);
        }
        send(n, routers_[asker]->self.id,
             [=, this](std::size_t to)
             {
                 const auto found = routers_[to]->counts.find(engine);
                 if (found != routers_[to]->counts.end())
                 {
                     found->second.rebuild->on_answer(answer, local(to));
                 }
             });
    }

    owner_account account(const router& it, const endpoint_id& engine, const engine_count& count)
    {
        owner_account result{count.ended_in, count.complete_account,
                             count.rebuild->known_permits()};
        for (const std::size_t number : it.outstanding)
        {
            const permit& own = permits_[number];
            if (own.stamp.endpoint == engine)
            {
                result.outstanding.push_back(
                    {own.stamp, {make_member(own.holder).id, own.holder_run}});
            }
        }
        return result;
    }

    void report(std::size_t n, const endpoint_id& engine, std::size_t load, time_point asked)
    {
        router& it = *routers_[n];
        std::vector<permit_stamp> used;
        for (const std::size_t number : it.outstanding)
        {
            const permit& own = permits_[number];
            if (own.stamp.endpoint == engine && asked - own.issued >= millis{2000})
            {
                used.push_back(own.stamp);
            }
        }
        it.counts.at(engine).rebuild->on_load_report(load, asked, used);
    }

    std::size_t load_at(const endpoint_id& engine, std::size_t steps_ago) const
    {
        const auto found = loads_.find(engine);
        const std::size_t size = found == loads_.end() ? 0 : found->second.size();
        return size > steps_ago ? found->second[size - 1 - steps_ago] : 0;
    }

    void request_permit(std::size_t n, const endpoint_id& engine)
    {
        const member* owner = owner_of(*routers_[n]->agent.current(), engine);
        const time_point asked = local(n);
        const std::uint64_t run = routers_[n]->self.incarnation;
        if (owner != nullptr)
        {
            send(n, owner->id, [=, this](std::size_t to) { issue(to, engine, n, run, asked); });
        }
    }

    std::size_t counted(const router& it, const endpoint_id& engine) const
    {
        const owner_rebuild& rebuild = *it.counts.at(engine).rebuild;
        const auto own = std::count_if(it.outstanding.begin(), it.outstanding.end(),
                                       [&](std::size_t number)
                                       { return permits_[number].stamp.endpoint == engine; });
        return static_cast<std::size_t>(own) + rebuild.known_permits().size() +
               rebuild.unexplained_load();
    }

    void issue(std::size_t n, const endpoint_id& engine, std::size_t holder, std::uint64_t run,
               time_point asked)
    {
        router& it = *routers_[n];
        const view_pointer in = it.agent.current();
        const member* listed = in ? find_member(in->members, make_member(holder).id) : nullptr;
        // Only members get permits: a new owner asks the members what they hold.
        if (it.agent.may_issue(engine, local(n)) || !it.counts.at(engine).rebuild->is_complete() ||
            counted(it, engine) >= limit || listed == nullptr || listed->incarnation != run)
        {
            return;
        }
        const std::size_t number = permits_.size();
        permits_.push_back({{engine, it.self.id, it.self.incarnation, in->number, number},
                            holder,
                            run,
                            asked,
                            local(n),
                            false,
                            false});
        it.outstanding.insert(number);
        ++issued;
        send(n, listed->id, [=, this](std::size_t) { use(number); });
    }

    bool usable(const permit& it) const
    {
        const router& holder = *routers_[it.holder];
        return !it.over && !it.running && holder.self.incarnation == it.holder_run &&
               !check_permit(it.stamp, *holder.agent.current(), it.asked, local(it.holder));
    }

    void use(std::size_t number)
    {
        permits_[number].running = usable(permits_[number]);
        permits_[number].over = !permits_[number].running;
    }

    // Ends requests at random, and returns what is over or can no longer be used.
    void finish_permits(std::size_t n)
    {
        for (std::size_t number = first_open_; number < permits_.size(); ++number)
        {
            permit& it = permits_[number];
            if (it.holder != n || it.holder_run != routers_[n]->self.incarnation)
            {
                continue;
            }
            it.over = it.over || (it.running ? random_.below(100) == 0 : !usable(it));
            if (it.over && random_.below(5) == 0)
            {
                release(n, number);
            }
        }
        while (first_open_ < permits_.size() && permits_[first_open_].over &&
               permits_.size() - first_open_ > 200)
        {
            ++first_open_;
        }
    }

    void release(std::size_t n, std::size_t number)
    {
        const permit_stamp stamp = permits_[number].stamp;
        const auto take = [=, this](std::size_t to)
        {
            routers_[to]->outstanding.erase(number);
            const auto found = routers_[to]->counts.find(stamp.endpoint);
            if (found != routers_[to]->counts.end())
            {
                found->second.rebuild->on_permit_returned(stamp);
            }
        };
        send(n, stamp.owner, take);
        if (const member* owner = owner_of(*routers_[n]->agent.current(), stamp.endpoint))
        {
            send(n, owner->id, take);
        }
    }

    std::size_t issuers(const endpoint_id& engine, bool rebuilt) const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < routers_.size(); ++n)
        {
            const bool issues = !routers_[n]->agent.may_issue(engine, local(n));
            count += issues && (!rebuilt || routers_[n]->counts.at(engine).rebuild->is_complete());
        }
        return count;
    }

    void check()
    {
        for (const endpoint_id& engine : engines)
        {
            if (issuers(engine, false) > 1)
            {
                FAIL("two issuers for " << engine.str() << " at " << now_ << " ms");
            }
            std::size_t running = 0;
            std::size_t pending = 0;
            for (std::size_t number = first_open_; number < permits_.size(); ++number)
            {
                const permit& it = permits_[number];
                if (it.stamp.endpoint == engine)
                {
                    running += it.running && !it.over;
                    pending += usable(it);
                }
            }
            if (running + pending > limit)
            {
                FAIL("running " << running << " and usable " << pending << " for " << engine.str()
                                << " at " << now_ << " ms");
            }
            if (loads_at_ < now_ || loads_[engine].empty())
            {
                loads_[engine].push_back(running);
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
    std::size_t split_by_ = 0;
    std::vector<std::size_t> group_; // others than 0 do not reach the store
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::vector<permit> permits_;
    std::size_t first_open_ = 0;
    std::map<endpoint_id, std::vector<std::size_t>> loads_;
    std::int64_t loads_at_ = -1;
};

std::size_t setting(const char* name, std::size_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): tests have one thread.
    return text == nullptr ? otherwise : std::stoul(text);
}

std::size_t runs_wanted()
{
    return setting("ENDIVESTAGE_RUNS", 120);
}

std::size_t first_seed()
{
    return setting("ENDIVESTAGE_SEED", 0);
}

} // namespace

// Guards against two owners that grant permits for one engine, and against permits of an old
// owner that a new one does not count: both overload the engine.
TEST_CASE("no engine gets more permits than its limit under any two faults")
{
    for (std::size_t seed = first_seed(); seed < first_seed() + runs_wanted(); ++seed)
    {
        INFO("ENDIVESTAGE_SEED=" << seed);
        world fleet(3 + seed % 7, seed);
        fleet.run(4000, false);
        fleet.run(30000, true);
        fleet.heal();
        // The last rank waits 9 times 2 s; then come a change and a rebuild.
        for (int seconds = 0; seconds < 30 && fleet.served() < engines.size(); ++seconds)
        {
            fleet.run(1000, false);
        }
        REQUIRE(fleet.served() == engines.size());
    }
    std::cout << "interleavings: steps=" << world::steps << " permits=" << world::issued
              << " takeovers=" << world::takeovers << '\n';
    REQUIRE(world::issued > 0);
}

// Guards against an outage of the store that stops owners which nothing replaces.
TEST_CASE("owners continue while the store is down")
{
    world fleet(5, 7);
    fleet.run(5000, false);
    REQUIRE(fleet.served() == engines.size());
    fleet.set_store_down(true);
    for (int seconds = 0; seconds < 30; ++seconds)
    {
        fleet.run(1000, false);
        REQUIRE(fleet.served() == engines.size());
    }
}

// Guards against a row that another router cannot read, and against text that stops a router.
TEST_CASE("views survive encoding and malformed ones are refused")
{
    rc::prop("decoding gives what was encoded; cut text is an error",
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

// Guards against witnesses that fail together with the zone of the member they speak for.
TEST_CASE("a zone holds a minority of a member's witnesses")
{
    const std::vector<member> members = make_members(12);
    for (const member& who : members)
    {
        std::map<zone_id, int> zones;
        for (const member& witness : witnesses_of(members, who.id))
        {
            REQUIRE(witness.id != who.id);
            REQUIRE(++zones[witness.zone] <= 2);
        }
        REQUIRE(witnesses_of(members, who.id).size() == max_witnesses);
    }
}

// Guards against engines that a leaving router goes on to own, and against moving others.
TEST_CASE("a leaving member owns nothing and moves only its own engines")
{
    std::vector<member> members = make_members(6);
    const std::vector<member> before = members;
    members[2].leaving = true;
    for (std::size_t n = 0; n < 200; ++n)
    {
        const endpoint_id engine("engine-" + std::to_string(n));
        const router_id owner = owner_of(before, engine)->id;
        const router_id after = owner_of(members, engine)->id;
        REQUIRE(after != members[2].id);
        REQUIRE((owner == members[2].id || after == owner));
    }
}

// Guards against a member that knows only an older view: its old witnesses could go on to confirm
// that view while its witnesses of the present one let a later change pass.
TEST_CASE("a change waits for members whose witnesses change")
{
    std::vector<member> members = make_members(9);
    const std::vector<member> previous = members;
    members.erase(members.begin() + 4);
    const view_pointer target = make_view(2, view_state::preparing, members, previous);
    internal::view_change change(target, time_point{0});
    std::vector<member> unheard;
    for (const member& who : members)
    {
        const std::vector<member> before = witnesses_of(previous, who.id);
        if (find_member(before, previous[4].id) != nullptr && unheard.empty())
        {
            unheard = before;
            unheard.push_back(who);
        }
    }
    REQUIRE(!unheard.empty());
    change.record_acknowledgement({previous[4].id, 1}, time_point{10});
    for (const member& who : members)
    {
        if (find_member(unheard, who.id) == nullptr)
        {
            change.record_acknowledgement({who.id, 1}, time_point{10});
        }
    }
    REQUIRE(!change.ready_at(millis{2500}));
    for (const member& who : unheard)
    {
        change.record_acknowledgement({who.id, 1}, time_point{20});
    }
    REQUIRE(change.ready_at(millis{2500}) == time_point{0});
}

// Guards against an activation before the confirmation of a silent owner has run out.
TEST_CASE("without the losing owner's acknowledgement a change waits after its witnesses'")
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
    // A later run of the owner shows that the run in the view has ended.
    change.record_acknowledgement({previous[3].id, 2}, time_point{500});
    REQUIRE(change.ready_at(millis{2500}) == time_point{100});
}

// Guards against an owner that skipped views and does not know who issued meanwhile.
TEST_CASE("an owner that skipped two views takes its engines over anew")
{
    const std::vector<member> members = make_members(3);
    const member self = *owner_of(members, engines[0]);
    view_agent agent({}, region_id("test"), self);
    agent.set_endpoints(std::vector<endpoint_id>{engines[0]}, time_point{0});
    const auto takeovers = [&](std::uint64_t number)
    {
        const view_announce news{
            {}, make_view(number, view_state::active, members, members), router_id()};
        const view_actions actions = agent.on_message(news, time_point{0});
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

// A takeover by r1 from r0, which is still a member.
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

// Guards against issuing while a router that has not learned the view may still use old permits.
TEST_CASE("a rebuild ends with all answers and the previous owner's account")
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

// Guards against load that a returned permit seemed to explain, found by the property above with
// seed 1215: the permit had ended before the report.
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

// Guards against a witness that confirms a view after it has learned a newer one (R2), which the
// property above finds only in rare interleavings.
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
    const view_pointer news = make_view(2, view_state::preparing, members, members);
    agent.on_message(view_announce{{}, news, router_id()}, time_point{0});
    REQUIRE(!ask(1).confirmed);
    REQUIRE(ask(1).newest == news);
    REQUIRE(ask(2).confirmed);
}

// Guards against a restarted router that removes all others, because its list of live routers is
// older than the view that it has just read.
TEST_CASE("a view that was just adopted is not changed from an older list of live routers")
{
    const std::vector<member> members{make_member(0), make_member(1), make_member(2)};
    view_agent agent({}, region_id("test"), members[0]);
    agent.on_membership(std::vector<member>{members[0]}, time_point{0});
    const view stored{5, view_state::active, region_id("test"), members, {}};
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::vector<table_request> due;
    const auto take = [&](const view_actions& actions)
    {
        for (const view_action& action : actions)
        {
            if (const table_request* request = std::get_if<table_request>(&action))
            {
                const bool read = request->operation.what == table_operation::kind::read;
                ++(read ? reads : writes);
                due.push_back(*request);
            }
        }
    };
    for (std::int64_t now = 0; now < 1000; now += 50)
    {
        take(agent.tick(time_point{now}));
        for (const table_request& request : std::exchange(due, {}))
        {
            table_result answer;
            answer.what = table_result::outcome::applied;
            answer.row = {request.operation.key, 9, encode_view(stored)};
            take(agent.on_table_result(request.token, answer, time_point{now + 5}));
        }
        if (now >= 50)
        {
            take(agent.on_membership(members, time_point{now + 10}));
        }
    }
    REQUIRE(reads > 0);
    REQUIRE(writes == 0);
}
