// Replays one recorded load under several orders of waiting requests. The load covers 40 s at 1.6
// times the capacity of 20 slots: three kinds with priorities 0 to 2, four teams, work of 50 ms and
// more with a mean of 400 ms. Refused callers return after Retry-After while they have time left.
#include <endivestage/overload.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>
#include <map>
#include <queue>

using namespace endivestage;

namespace
{

constexpr double slots = 20.0;
constexpr std::int64_t load_ms = 40000;

struct recorded_request
{
    pending_request request;
    std::int64_t work_ms = 0;
    std::uint64_t chat = 0;
    std::size_t size_rank = 0; // 0 for the largest tenth of the kind, 1 for the fifth below it.
};

struct variant
{
    double estimate_factor = 1.0; // Of every second request its inverse, if mixed.
    bool mixed = false;
    bool greedy_team = false; // Team "a" has two fifths of the load and marks all as urgent.
};

std::vector<recorded_request> record_load(const variant& v)
{
    struct kind
    {
        const char* name;
        millis objective;
        millis timeout;
        double per_s;
    };
    const std::vector<kind> kinds{{"chat", {400}, {4000}, 30.0},
                                  {"draft", {800}, {6000}, 30.0},
                                  {"bulk", {3000}, {15000}, 20.0}};
    seeded_random random(20261206);
    std::vector<recorded_request> load;
    std::map<std::string, std::vector<std::int64_t>> works;
    for (std::int64_t ms = 0; ms < load_ms; ++ms)
    {
        for (std::size_t k = 0; k < kinds.size(); ++k)
        {
            if (random.unit() * 1000.0 >= kinds[k].per_s)
            {
                continue;
            }
            recorded_request r;
            pending_request& p = r.request;
            r.work_ms = 50 + static_cast<std::int64_t>(-350.0 * std::log(1.0 - random.unit()));
            r.chat = random.next();
            const std::uint64_t fifth = random.below(5);
            const char* teams = v.greedy_team ? "aabcd" : "abcdd";
            p.team = team_id(std::string(1, teams[fifth]));
            p.number = load.size() + 1;
            p.route = kinds[k].name;
            p.priority = v.greedy_team && p.team.view() == "a" ? 0 : static_cast<unsigned>(k);
            p.received = {ms};
            p.objective = kinds[k].objective;
            p.deadline = p.received + kinds[k].timeout;
            const bool inverse = v.mixed && random.below(2) == 0;
            const double estimate = static_cast<double>(r.work_ms) *
                                    (inverse ? 1.0 / v.estimate_factor : v.estimate_factor);
            p.expected_completion = {static_cast<std::int64_t>(estimate)};
            works[p.route].push_back(r.work_ms);
            load.push_back(r);
        }
    }
    for (auto& [name, sorted] : works)
    {
        std::sort(sorted.rbegin(), sorted.rend());
        for (recorded_request& r : load)
        {
            if (r.request.route == name)
            {
                r.size_rank = r.work_ms >= sorted[sorted.size() / 10]       ? 0
                              : r.work_ms >= sorted[sorted.size() * 3 / 10] ? 1
                                                                            : 2;
            }
        }
    }
    return load;
}

/// An alternative to the order of the product.
class order_by final : public waiting_order
{
public:
    using rank_function = double (*)(const pending_request&, const order_context&);
    explicit order_by(rank_function ranked) : rank_(ranked) {}

    double rank(const pending_request& r, const order_context& c) const override
    {
        return rank_(r, c);
    }

private:
    rank_function rank_;
};

const order_by first_come([](const pending_request& r, const order_context&)
                          { return -static_cast<double>(r.received.since_epoch); });
const order_by
    strict_priority([](const pending_request& r, const order_context&)
                    { return -1e9 * r.priority - static_cast<double>(r.received.since_epoch); });
const order_by earliest_deadline([](const pending_request& r, const order_context&)
                                 { return -static_cast<double>(r.deadline.since_epoch); });
const order_by least_slack(
    [](const pending_request& r, const order_context& c)
    { return -static_cast<double>((r.deadline - c.now - r.expected_completion).count); });
const order_by shortest_with_ageing(
    [](const pending_request& r, const order_context& c)
    {
        const double age = static_cast<double>((c.now - r.received).count);
        return (1.0 + age / 1000.0) / (r.work * (1.0 + r.priority));
    });

struct share
{
    double offered = 0.0;
    double served = 0.0;
    double ratio() const { return offered > 0.0 ? served / offered : 1.0; }
};

struct replay_result
{
    share all;
    std::map<std::string, share> groups; // "kind chat", "team a", "size chat 0".
    double loss = 0.0;                   // Lost requests weigh 4, 2 or 1 by kind; late ones half.
};

replay_result replay(const waiting_order& order, bool product, const variant& v)
{
    overload_config config;
    config.enabled = true;
    if (!product)
    {
        // The alternatives are the bare orders, without floors and without a band around the bound.
        config.rank_band = 0.0;
        config.shares.kind_floor = 0.0;
        config.shares.size_floor = 0.0;
    }
    service_admission admission(config, order);
    std::vector<recorded_request> load = record_load(v);
    const std::map<std::string, double> weights{{"chat", 4.0}, {"draft", 2.0}, {"bulk", 1.0}};
    std::multimap<std::int64_t, std::size_t> events; // Arrivals and returns.
    std::multimap<std::int64_t, std::size_t> waits;  // Ends of waits.
    std::multimap<std::int64_t, std::size_t> running;
    std::queue<std::size_t> inside; // Sent to endpoints whose slots are all taken.
    replay_result result;
    std::vector<bool> served(load.size(), false);
    std::vector<bool> waiting(load.size(), false);
    for (std::size_t i = 0; i < load.size(); ++i)
    {
        events.emplace(load[i].request.received.since_epoch, i);
    }
    const auto send = [&](std::size_t i)
    {
        waiting[i] = false;
        admission.begin(load[i].request.work);
        inside.push(i);
    };
    const auto take = [&](std::size_t i, const admission_decision& decision, std::int64_t now)
    {
        if (decision.step == admission_step::go_on)
        {
            send(i);
        }
        else if (decision.step == admission_step::wait)
        {
            waiting[i] = true;
            waits.emplace(now + decision.max_wait.count, i);
        }
        else if (now + decision.retry_after.count < load[i].request.deadline.since_epoch)
        {
            events.emplace(now + std::max<std::int64_t>(1, decision.retry_after.count), i);
        }
    };
    double own = 0.0;
    for (std::int64_t now = 0; now < load_ms + 20000; ++now)
    {
        for (; !running.empty() && running.begin()->first <= now; running.erase(running.begin()))
        {
            const recorded_request& r = load[running.begin()->second];
            admission.end(r.request.work, {now});
            own -= 1.0;
            served[running.begin()->second] = now <= r.request.deadline.since_epoch;
            const bool late =
                now - r.work_ms > (r.request.received + r.request.objective).since_epoch;
            result.loss += late ? 0.5 * weights.at(r.request.route) : 0.0;
        }
        if (now % 20 == 0)
        {
            admission.update_load({slots, own + static_cast<double>(inside.size()), 1, true},
                                  {now});
        }
        for (; !events.empty() && events.begin()->first <= now; events.erase(events.begin()))
        {
            const std::size_t i = events.begin()->second;
            pending_request& p = load[i].request;
            p.work = admission.measure_work(p.expected_completion);
            p.in_turn = has_turn(load[i].chat, {now});
            take(i, admission.offer(p, {now}), now);
        }
        for (const std::uint64_t number : admission.release({now}))
        {
            admission.withdraw(number);
            send(number - 1);
        }
        for (; !waits.empty() && waits.begin()->first <= now; waits.erase(waits.begin()))
        {
            const std::size_t i = waits.begin()->second;
            if (waiting[i])
            {
                waiting[i] = false;
                take(i, admission.end_wait(i + 1, {now}), now);
            }
        }
        for (; !inside.empty() && own < slots; inside.pop())
        {
            running.emplace(now + load[inside.front()].work_ms, inside.front());
            own += 1.0;
        }
    }
    for (std::size_t i = 0; i < load.size(); ++i)
    {
        const pending_request& p = load[i].request;
        for (share* group :
             {&result.all, &result.groups["kind " + p.route],
              &result.groups["team " + p.team.str()],
              &result.groups["size " + p.route + " " + std::to_string(load[i].size_rank)]})
        {
            group->offered += 1.0;
            group->served += served[i] ? 1.0 : 0.0;
        }
        result.loss += served[i] ? 0.0 : weights.at(p.route);
    }
    return result;
}

void print(const char* name, const replay_result& r)
{
    std::printf("%-18s loss %7.0f served %.2f", name, r.loss, r.all.ratio());
    for (const auto& [group, counts] : r.groups)
    {
        std::printf(" | %s %.2f", group.c_str(), counts.ratio());
    }
    std::printf("\n");
}

void check_floors(const replay_result& r)
{
    for (const auto& [group, counts] : r.groups)
    {
        INFO(group);
        const bool size = group.starts_with("size");
        const double reference =
            size ? r.groups.at("kind " + group.substr(5, group.size() - 7)).ratio() / 2.0
                 : r.all.ratio() / 4.0;
        CHECK(counts.ratio() >= reference);
    }
}

const variant exact{};
const std::vector<variant> wrong_estimates{
    {2.0, false, false}, {0.5, false, false}, {2.0, true, false}};

} // namespace

// Guards against an order that loses more than a simpler one would, or that starves a kind, a team
// or large requests.
TEST_CASE("the order by cost of delay loses least and starves nothing")
{
    const replay_result product = replay(delay_cost_order{}, true, exact);
    const std::map<std::string, replay_result> others{
        {"first_come", replay(first_come, false, exact)},
        {"strict_priority", replay(strict_priority, false, exact)},
        {"earliest_deadline", replay(earliest_deadline, false, exact)},
        {"least_slack", replay(least_slack, false, exact)},
        {"shortest_ageing", replay(shortest_with_ageing, false, exact)}};
    print("delay_cost", product);
    for (const auto& [name, other] : others)
    {
        print(name.c_str(), other);
    }
    check_floors(product);
    CHECK(product.loss <= others.at("first_come").loss);
    CHECK(product.loss <= others.at("earliest_deadline").loss);
    CHECK(product.loss <= others.at("least_slack").loss);
    CHECK(product.groups.at("kind chat").ratio() >= product.groups.at("kind draft").ratio() - 0.05);
    CHECK(product.groups.at("kind draft").ratio() >= product.groups.at("kind bulk").ratio() - 0.05);
}

// Guards against an order that depends on exact estimates.
TEST_CASE("estimates that are wrong by two do not make it worse than first come")
{
    for (const variant& v : wrong_estimates)
    {
        const replay_result product = replay(delay_cost_order{}, true, v);
        print("wrong estimates", product);
        check_floors(product);
        CHECK(product.loss <= 1.1 * replay(first_come, false, v).loss);
    }
}

// Guards against a team that takes the share of others by marking all its requests as urgent.
TEST_CASE("a team that marks everything urgent does not displace others")
{
    const variant greedy{1.0, false, true};
    const replay_result product = replay(delay_cost_order{}, true, greedy);
    const replay_result reference = replay(first_come, false, greedy);
    print("greedy team", product);
    print("greedy first_come", reference);
    check_floors(product);
    CHECK(product.loss <= 1.1 * reference.loss);
    for (const char* team : {"team b", "team c", "team d"})
    {
        INFO(team);
        CHECK(product.groups.at(team).ratio() >= reference.groups.at(team).ratio() - 0.05);
    }
}
