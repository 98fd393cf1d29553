#include <endivestage/routing.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

using namespace endivestage;

namespace
{

using type = part_report::type;

const prompt_part common{1, 2500};
const prompt_part sound{2, 300};
const prompt_part deadly{3, 300};
const std::vector<prompt_part> sound_prompt{common, sound};
const std::vector<prompt_part> deadly_prompt{common, deadly};
constexpr std::uint64_t self = 77;

void crash(prompt_quarantine& quarantine, std::span<const prompt_part> parts, std::uint64_t first,
           std::size_t count, time_point now)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        quarantine.record_crash(parts, first + n, millis{0}, now);
    }
}

/// Routers that exchange reports like peer_service: what is new goes to a few random routers.
class fleet
{
public:
    fleet(std::size_t routers, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n < routers; ++n)
        {
            routers_.emplace_back(hash64("router-" + std::to_string(n)));
        }
    }

    prompt_quarantine& any() { return routers_[random_.below(routers_.size())]; }
    std::size_t size() const { return routers_.size(); }
    seeded_random& random() { return random_; }
    prompt_quarantine& at(std::size_t n) { return routers_[n]; }
    std::size_t reports_in_flight() const { return in_flight_.size(); }

    void send(const std::vector<part_report>& reports)
    {
        for (const part_report& report : reports)
        {
            for (std::size_t n = 0; n < 5; ++n)
            {
                // One datagram in twenty is lost.
                if (random_.below(20) > 0)
                {
                    in_flight_.push_back({random_.below(routers_.size()), report, now_});
                }
            }
        }
    }

    /// Delivers what was sent before the previous step.
    void step(time_point now)
    {
        now_ = now;
        std::deque<delivery> arrived;
        arrived.swap(in_flight_);
        for (delivery& d : arrived)
        {
            d.report.age = d.report.age + (now - d.sent);
            send(routers_[d.router].apply(d.report, now));
        }
        if (now.since_epoch % 1000 == 0)
        {
            for (prompt_quarantine& router : routers_)
            {
                router.expire(now);
                send(router.reminders(now));
            }
        }
    }

private:
    struct delivery
    {
        std::size_t router = 0;
        part_report report;
        time_point sent;
    };

    seeded_random random_;
    std::deque<prompt_quarantine> routers_;
    std::deque<delivery> in_flight_;
    time_point now_;
};

} // namespace

// Load: requests with one part crash engine after engine. Without a quarantine all engines fail.
TEST_CASE("a part that is in flight at three crashes and never served is quarantined")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, deadly_prompt, 1, 2, {1000});
    quarantine.record_served(sound_prompt, {1100});
    REQUIRE(quarantine.admit(deadly_prompt, 1, {5000}).admitted);
    crash(quarantine, deadly_prompt, 3, 1, {5000});
    crash(quarantine, std::vector<prompt_part>{deadly}, 4, 1, {5000});
    const quarantine_decision decision = quarantine.admit(deadly_prompt, 1, {5300});
    REQUIRE_FALSE(decision.admitted);
    REQUIRE(decision.part == deadly.hash);
    REQUIRE(decision.retry_after > millis{0});
    REQUIRE(quarantine.admit(sound_prompt, 1, {5300}).admitted);
}

// Guards against one crash that several routers or requests report counting as several.
TEST_CASE("one crash counts once")
{
    prompt_quarantine quarantine(self);
    for (int n = 0; n < 5; ++n)
    {
        quarantine.record_crash(deadly_prompt, 9, millis{0}, {1000});
        quarantine.apply({type::crashed, deadly.hash, 9, millis{50}}, {1100});
    }
    REQUIRE(quarantine.admit(deadly_prompt, 1, {9000}).admitted);
}

// Load: a zone loses power and many engines fail at once. Parts in common use are in flight at each
// of them and must not be quarantined.
TEST_CASE("a served request within the settling time prevents the quarantine of a common part")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, sound_prompt, 1, 20, {1000});
    REQUIRE(quarantine.admit(sound_prompt, 1, {1100}).admitted);
    REQUIRE(quarantine.record_served(sound_prompt, {1200}).size() == 2);
    REQUIRE(quarantine.admit(sound_prompt, 1, {9000}).admitted);
}

// Guards against a part that was quarantined by mistake staying so although it is served elsewhere.
TEST_CASE("a report of a served request ends a quarantine")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, sound_prompt, 1, 3, {1000});
    REQUIRE_FALSE(quarantine.admit(sound_prompt, 1, {2000}).admitted);
    for (const prompt_part& part : sound_prompt)
    {
        REQUIRE(quarantine.apply({type::served, part.hash, 0, millis{100}}, {2100}).size() == 1);
    }
    REQUIRE(quarantine.admit(sound_prompt, 1, {2100}).admitted);
}

// Load: a chat sends prompts with a deadly part. Its history is in flight at the same crashes, and
// its other prompts, which come less often, must still be served.
TEST_CASE("a part that was served before is not quarantined for the crashes of a new part")
{
    const std::vector<prompt_part> prompt{common, sound, deadly};
    prompt_quarantine observer(self);
    prompt_quarantine other(self + 1);
    other.record_served(sound_prompt, {100});
    for (std::uint64_t n = 1; n <= 20; ++n)
    {
        const time_point now{1000 + static_cast<std::int64_t>(n) * 200};
        for (const part_report& crashed : observer.record_crash(prompt, n, millis{0}, now))
        {
            for (const part_report& answer : other.apply(crashed, now))
            {
                observer.apply(answer, now);
            }
        }
    }
    REQUIRE_FALSE(observer.admit(prompt, 1, {6000}).admitted);
    REQUIRE(observer.admit(sound_prompt, 1, {6000}).admitted);
    REQUIRE(other.admit(sound_prompt, 1, {6000}).admitted);
}

// Load: a new chat sends nothing but prompts with a deadly part at first. Its other prompts come
// when its history and the deadly part have been in flight at the same crashes.
TEST_CASE("a prompt without the deadly part is served although its chat is new")
{
    const std::vector<prompt_part> prompt{common, sound, deadly};
    prompt_quarantine quarantine(self);
    quarantine.record_served(std::vector<prompt_part>{common}, {100});
    crash(quarantine, prompt, 1, 4, {1000});
    REQUIRE_FALSE(quarantine.admit(prompt, 1, {2000}).admitted);
    REQUIRE(quarantine.admit(sound_prompt, 1, {2000}).admitted);
    quarantine.record_served(sound_prompt, {2500});
    REQUIRE_FALSE(quarantine.admit(prompt, 1, {3000}).admitted);
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, {3000}).admitted);
}

// Guards against a deadly part escaping because it was served before it became deadly.
TEST_CASE("a part that was served before is quarantined when no new part explains the crashes")
{
    prompt_quarantine quarantine(self);
    quarantine.record_served(deadly_prompt, {100});
    crash(quarantine, deadly_prompt, 1, 5, {1000});
    REQUIRE(quarantine.admit(deadly_prompt, 1, {2000}).admitted);
    crash(quarantine, deadly_prompt, 6, 1, {2000});
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, {3000}).admitted);
}

// Guards against reports of old crashes that still circulate after the part was cleared.
TEST_CASE("a crash before the latest served request is answered with the clearance")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, sound_prompt, 1, 1, {1000});
    quarantine.record_served(sound_prompt, {2000});
    const std::vector<part_report> answer =
        quarantine.apply({type::crashed, common.hash, 50, millis{1500}}, {2500});
    REQUIRE(answer == std::vector<part_report>{{type::served, common.hash, 0, millis{500}}});
    for (std::uint64_t n = 51; n < 60; ++n)
    {
        quarantine.apply({type::crashed, common.hash, n, millis{1500}}, {2500});
    }
    REQUIRE(quarantine.admit(sound_prompt, 1, {4000}).admitted);
}

// Guards against a quarantine that never ends, and against many trials when it does.
TEST_CASE("after its quarantine a part is tried once and then waits for the outcome")
{
    prompt_quarantine_config config;
    prompt_quarantine quarantine(self, config);
    crash(quarantine, deadly_prompt, 1, 3, {1000});
    const time_point end = time_point{1000} + config.min_duration;
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, end - millis{1}).admitted);
    const quarantine_decision trial = quarantine.admit(deadly_prompt, 1, end);
    REQUIRE(trial.admitted);
    REQUIRE(trial.reports.size() == 2);
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, end + millis{1}).admitted);
    crash(quarantine, deadly_prompt, 4, 1, end + millis{100});
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, end + config.min_duration).admitted);
    REQUIRE(
        quarantine.admit(deadly_prompt, 1, end + millis{100} + config.min_duration * 2).admitted);
}

// Guards against a router that starts during a prolonged quarantine, or misses reports, taking it
// for ended: the end must not depend on the order in which it learns of the crashes.
TEST_CASE("a router that starts later knows when a prolonged quarantine ends")
{
    const prompt_quarantine_config config;
    const std::vector<prompt_part> parts{deadly};
    prompt_quarantine first(self, config);
    crash(first, parts, 100, 4, {1000});
    const time_point failed_trial = time_point{1000} + config.min_duration;
    // Reports are in the order of their identifiers.
    const std::uint64_t trial = GENERATE(1U, 1000U);
    first.record_crash(parts, trial, millis{0}, failed_trial);
    const time_point end = failed_trial + config.min_duration * 2;
    for (const time_point started : {failed_trial + millis{1000}, end - millis{1000}})
    {
        prompt_quarantine later(self + 1, config);
        for (const part_report& report : first.reminders(started))
        {
            later.apply(report, started);
        }
        REQUIRE_FALSE(later.admit(parts, 1, end - millis{1}).admitted);
        REQUIRE(later.admit(parts, 1, end).admitted);
    }
}

// Guards against leaving out the crash of a trial when a part had more crashes than are repeated.
TEST_CASE("the latest crashes are repeated to other routers")
{
    const prompt_quarantine_config config;
    const std::vector<prompt_part> parts{deadly};
    prompt_quarantine first(self, config);
    crash(first, parts, 1, 20, {1000});
    const time_point failed_trial = time_point{1000} + config.min_duration;
    first.record_crash(parts, 1000, millis{0}, failed_trial);
    prompt_quarantine later(self + 1, config);
    const time_point started = failed_trial + config.min_duration;
    for (const part_report& report : first.reminders(started))
    {
        later.apply(report, started);
    }
    REQUIRE_FALSE(later.admit(parts, 1, started + millis{500}).admitted);
}

// Guards against a router that has just started refusing a part in common use for as long as a new
// one: it learns that the part was served before only after the crashes.
TEST_CASE("a quarantine is shortened when its part turns out to have been served before")
{
    const prompt_quarantine_config config;
    prompt_quarantine quarantine(self, config);
    const std::vector<prompt_part> parts{common};
    crash(quarantine, parts, 1, 6, {1000});
    quarantine.apply({type::served, common.hash, 0, millis{500}}, {1100});
    REQUIRE_FALSE(quarantine.admit(parts, 1, {2000}).admitted);
    REQUIRE(quarantine.admit(parts, 1, time_point{1000} + config.min_duration_if_proven).admitted);
}

// Guards against a router that starts late, hears of a failed trial before the crashes that led to
// the quarantine, and sends another engine a deadly request while the others wait.
TEST_CASE("a quarantine lasts equally long in whatever order its crashes are reported")
{
    const prompt_quarantine_config config;
    const time_point first{1000};
    const time_point failed_trial = first + millis{200} + config.min_duration + millis{100};
    const time_point now = failed_trial + millis{2000};
    std::vector<time_point> crashes{first, first + millis{100}, first + millis{200}, failed_trial};
    std::vector<std::size_t> order{0, 1, 2, 3};
    do
    {
        prompt_quarantine late(self, config);
        for (const std::size_t n : order)
        {
            late.apply({type::crashed, deadly.hash, n + 1, now - crashes[n]}, now);
        }
        const time_point settled = now + config.settling_time;
        CAPTURE(order);
        const time_point end = failed_trial + config.min_duration * 2;
        CHECK_FALSE(late.admit(deadly_prompt, 1, settled).admitted);
        CHECK_FALSE(late.admit(deadly_prompt, 1, end - millis{1}).admitted);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Load: all engines of a service fail at once and are back after seconds. Prompts in common use
// must not be refused for longer, and the first served one ends it.
TEST_CASE("an outage of all engines quarantines common parts for seconds only")
{
    prompt_quarantine_config config;
    prompt_quarantine quarantine(self, config);
    quarantine.record_served(sound_prompt, {500});
    crash(quarantine, sound_prompt, 1, 20, {1000});
    REQUIRE_FALSE(quarantine.admit(sound_prompt, 1, {2000}).admitted);
    const time_point end = time_point{1000} + config.min_duration_if_proven;
    REQUIRE(quarantine.admit(sound_prompt, 1, end).admitted);
    quarantine.record_served(sound_prompt, end + millis{100});
    REQUIRE(quarantine.admit(sound_prompt, 1, end + millis{100}).admitted);
}

// Guards against reports of crashes that arrive after a later request with the part was served.
TEST_CASE("crashes before a served request do not count although they are reported later")
{
    prompt_quarantine quarantine(self);
    quarantine.record_served(sound_prompt, {2000});
    for (std::uint64_t n = 1; n <= 10; ++n)
    {
        quarantine.apply({type::crashed, sound.hash, n, millis{1500}}, {2500});
    }
    REQUIRE(quarantine.admit(sound_prompt, 1, {4000}).admitted);
}

// Guards against a trial that routers report to each other without end, so that none tries again.
TEST_CASE("a trial is passed on once")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, deadly_prompt, 1, 3, {1000});
    const part_report trial{type::trial, deadly.hash, 42, millis{0}};
    REQUIRE(quarantine.apply(trial, {30000}).size() == 1);
    for (std::int64_t now = 30000; now < 32000; now += 100)
    {
        REQUIRE(quarantine.apply(trial, {now}).empty());
    }
    REQUIRE(quarantine.admit(std::vector<prompt_part>{deadly}, 1, {32100}).admitted);
}

// Load: two routers try a part before they hear of each other. Guards against each of the two
// reports replacing the other one at every router, and being passed on each time.
TEST_CASE("several trials are passed on once each")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, deadly_prompt, 1, 3, {1000});
    const part_report first{type::trial, deadly.hash, 42, millis{0}};
    const part_report second{type::trial, deadly.hash, 43, millis{0}};
    REQUIRE(quarantine.apply(first, {70000}).size() == 1);
    REQUIRE(quarantine.apply(second, {70000}).size() == 1);
    for (std::int64_t now = 70000; now < 71000; now += 100)
    {
        const millis age{now - 70000};
        REQUIRE(quarantine.apply({type::trial, deadly.hash, 42, age}, {now}).empty());
        REQUIRE(quarantine.apply({type::trial, deadly.hash, 43, age}, {now}).empty());
    }
}

// Guards against reports of trials filling the memory.
TEST_CASE("reports of many trials are not passed on")
{
    prompt_quarantine quarantine(self);
    crash(quarantine, deadly_prompt, 1, 3, {1000});
    std::size_t passed_on = 0;
    for (std::uint64_t n = 1; n <= 1000; ++n)
    {
        passed_on += quarantine.apply({type::trial, deadly.hash, n, millis{0}}, {70000}).size();
    }
    REQUIRE(passed_on < 100);
}

// Guards against forgetting the crashes of a part while it is quarantined: after ten minutes, three
// further crashes of engines would be needed each time.
TEST_CASE("a part that stays deadly costs one engine in each period of the longest duration")
{
    const prompt_quarantine_config config;
    const std::vector<prompt_part> parts{deadly};
    prompt_quarantine quarantine(self, config);
    constexpr time_point end{6000000};
    const time_point longest_reached{2000000};
    std::uint64_t crashes = 0;
    std::uint64_t late_crashes = 0;
    for (time_point now{1000}; now < end; now = now + millis{1000})
    {
        quarantine.expire(now);
        if (quarantine.admit(parts, 1, now).admitted)
        {
            quarantine.record_crash(parts, ++crashes, millis{0}, now);
            late_crashes += now >= longest_reached ? 1 : 0;
        }
    }
    REQUIRE(static_cast<std::int64_t>(late_crashes) <=
            (end - longest_reached).count / config.max_duration.count + 1);
    quarantine.expire(end + config.max_duration * 2);
    REQUIRE(quarantine.size() == 0);
}

// Load: a caller sends prompts with many deadly parts. Guards against repeating all of them each
// second, which takes more than the network limit of a few KB/s, and against leaving any out.
TEST_CASE("quarantined parts are repeated a few at a time and in turn")
{
    prompt_quarantine quarantine(self);
    std::vector<prompt_part> parts;
    for (std::uint64_t n = 1; n <= 100; ++n)
    {
        parts.push_back({n, 10});
    }
    crash(quarantine, parts, 1, 10, {1000});
    std::set<std::uint64_t> repeated;
    for (std::int64_t second = 2; second < 52; ++second)
    {
        const std::vector<part_report> reports = quarantine.reminders({second * 1000});
        REQUIRE(reports.size() <= 32);
        for (const part_report& report : reports)
        {
            repeated.insert(report.part);
        }
    }
    REQUIRE(repeated.size() == parts.size());
}

// Load: one caller lists thousands of parts in a header. Guards against them displacing what is
// known of the parts of other callers.
TEST_CASE("a prompt with many parts leaves the memory of others in place")
{
    prompt_quarantine quarantine(self);
    quarantine.record_served(sound_prompt, {100});
    std::vector<prompt_part> many;
    for (std::uint64_t n = 0; n < 20000; ++n)
    {
        many.push_back({1000 + n, 1});
    }
    quarantine.record_served(many, {200});
    quarantine.record_crash(many, 50, millis{0}, {300});
    REQUIRE(quarantine.size() <= 256);
    crash(quarantine, sound_prompt, 1, 3, {1000});
    REQUIRE(quarantine.admit(sound_prompt, 1, {2000}).admitted);
}

// Load: more parts are reported than a router remembers, so that all have forgotten some. Guards
// against passing reports of forgotten parts to each other until they expire.
TEST_CASE("reports of more parts than are remembered stop circulating")
{
    prompt_quarantine_config config;
    config.max_parts = 100;
    prompt_quarantine quarantine(self, config);
    std::size_t passed_on = 0;
    for (std::int64_t age = 0; age < 20000; age += 1000)
    {
        passed_on = 0;
        for (std::uint64_t n = 0; n < 150; ++n)
        {
            passed_on += quarantine.apply({type::crashed, n, n, millis{age}}, {1000 + age}).size();
        }
        REQUIRE((age > 0 || passed_on == 150));
    }
    REQUIRE(passed_on == 0);
}

// Guards against reports filling the memory, and against a quarantined part being forgotten.
TEST_CASE("reports are bounded and expire")
{
    prompt_quarantine_config config;
    config.max_parts = 100;
    prompt_quarantine quarantine(self, config);
    for (std::uint64_t n = 0; n < 1000; ++n)
    {
        quarantine.record_crash(std::vector<prompt_part>{{n, 10}}, n, millis{0},
                                {static_cast<std::int64_t>(n)});
    }
    REQUIRE(quarantine.size() == 100);
    crash(quarantine, deadly_prompt, 5000, 3, {1000});
    for (std::uint64_t n = 2000; n < 3000; ++n)
    {
        quarantine.record_crash(std::vector<prompt_part>{{n, 10}}, n, millis{0}, {1500});
    }
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, {1500}).admitted);
    quarantine.expire(time_point{2000} + config.max_duration);
    REQUIRE(quarantine.size() == 0);
}

// Load: 40 engines fail within a second and no request is served until later, so there are more
// crashes of one part than a router remembers. Guards against routers passing reports of forgotten
// crashes to each other without end, which took hundreds of KB/s of each router.
TEST_CASE("reports of more crashes than are remembered stop circulating")
{
    fleet f(71, 1);
    const std::vector<prompt_part> parts{common};
    for (std::size_t n = 0; n < f.size(); ++n)
    {
        f.at(n).record_served(parts, {500});
    }
    std::uint64_t crashes = 0;
    for (time_point now{1000}; now < time_point{6000}; now = now + millis{100})
    {
        f.step(now);
        for (int n = 0; n < 4 && now < time_point{2000}; ++n)
        {
            f.send(f.any().record_crash(parts, ++crashes, millis{0}, now));
        }
        // Each router passes each report on once, and repeats at most 24 a second.
        if (now >= time_point{3000})
        {
            REQUIRE(f.reports_in_flight() <= f.size() * 5 * 24);
        }
        if (now >= time_point{3000} && now.since_epoch % 1000 == 900)
        {
            REQUIRE(f.reports_in_flight() == 0);
        }
    }
}

// Guards against a crash that is later than all remembered ones being ignored when these are many:
// it is a trial that failed.
TEST_CASE("a part with many crashes is quarantined again after a failed trial")
{
    const prompt_quarantine_config config;
    prompt_quarantine quarantine(self, config);
    crash(quarantine, deadly_prompt, 1, 40, {1000});
    const time_point end = time_point{1000} + config.min_duration;
    REQUIRE(quarantine.admit(deadly_prompt, 1, end).admitted);
    crash(quarantine, deadly_prompt, 41, 1, end + millis{100});
    REQUIRE_FALSE(quarantine.admit(deadly_prompt, 1, end + config.min_duration).admitted);
}

// Load: 71 routers before 90 engines; 11 requests a second with a deadly part come at any router
// among 220 sound ones a second, of which few share all its other parts; at second 6 a fifth of the
// engines fails at once. At most three deadly requests may reach engines once the routers had the
// time to hear of the fifth crash, and sound requests are not refused.
TEST_CASE("a fleet stops sending a deadly part and keeps serving sound prompts")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
    CAPTURE(seed);
    fleet f(71, seed);
    constexpr std::int64_t step_ms = 50;
    constexpr millis contact{4000};
    std::uint64_t crashes = 0;
    std::optional<time_point> fifth_crash;
    std::size_t sent_late = 0;
    std::size_t sound_requests = 0;
    std::size_t sound_refused = 0;
    for (time_point now{1000}; now < time_point{90000}; now = now + millis{step_ms})
    {
        f.step(now);
        for (int n = 0; n < 11; ++n)
        {
            const std::vector<prompt_part> parts{{100 + f.random().below(4), 2500},
                                                 {1000 + f.random().below(522), 6000}};
            prompt_quarantine& router = f.any();
            const quarantine_decision decision = router.admit(parts, f.size(), now);
            // Refusals of the whole run are compared with the requests of its first part.
            sound_requests += now < time_point{40000} ? 1 : 0;
            sound_refused += decision.admitted ? 0 : 1;
            f.send(decision.reports);
            // A fifth of the engines fails at second 6, and their requests with them.
            const bool fails =
                now >= time_point{6000} && now < time_point{7000} && f.random().below(5) == 0;
            if (decision.admitted)
            {
                f.send(fails ? router.record_crash(parts, 500000 + f.random().below(18), millis{0},
                                                   now)
                             : router.record_served(parts, now));
            }
        }
        if (now >= time_point{4000} && f.random().below(20) < 11)
        {
            const std::vector<prompt_part> parts{{100, 2500}, {1000, 6000}, {666, 1200}};
            prompt_quarantine& router = f.any();
            const quarantine_decision decision = router.admit(parts, f.size(), now);
            f.send(decision.reports);
            if (decision.admitted)
            {
                ++crashes;
                f.send(router.record_crash(parts, 900000 + crashes, millis{0}, now));
                sent_late += fifth_crash && now - *fifth_crash > contact ? 1 : 0;
                fifth_crash = crashes == 5 ? now : fifth_crash;
            }
        }
    }
    REQUIRE(crashes >= 5);
    REQUIRE(sent_late <= 3);
    REQUIRE(sound_refused * 200 < sound_requests);
}

// Load: engines take 3 s until they begin to answer, and requests with a deadly part come at all of
// 71 routers for two minutes. Guards against trials that cost more engines than the budget of
// three, because routers do not wait for the outcome or try again too soon.
TEST_CASE("trials of a deadly part stay within the budget although crashes come late")
{
    const std::uint64_t seed = GENERATE(4U, 5U, 7U, 8U);
    CAPTURE(seed);
    struct sent_request
    {
        time_point crashes_at;
        std::size_t router = 0;
    };
    const std::vector<prompt_part> parts{common, deadly};
    fleet f(71, seed);
    std::deque<sent_request> running;
    std::uint64_t crashes = 0;
    std::optional<time_point> fifth_crash;
    std::size_t sent_late = 0;
    for (time_point now{1000}; now < time_point{120000}; now = now + millis{100})
    {
        f.step(now);
        f.send(f.any().record_served(std::vector<prompt_part>{common}, now));
        for (; !running.empty() && running.front().crashes_at <= now; running.pop_front())
        {
            ++crashes;
            f.send(f.at(running.front().router).record_crash(parts, crashes, millis{0}, now));
            fifth_crash = crashes == 5 ? now : fifth_crash;
        }
        // 11 requests a second.
        for (std::uint64_t n = 0; n < 1 + (f.random().below(10) == 0 ? 1U : 0U); ++n)
        {
            const std::size_t router = f.random().below(f.size());
            const quarantine_decision decision = f.at(router).admit(parts, f.size(), now);
            f.send(decision.reports);
            if (decision.admitted)
            {
                running.push_back({now + millis{3000}, router});
                sent_late += fifth_crash && now - *fifth_crash > millis{4000} ? 1 : 0;
            }
        }
    }
    REQUIRE(crashes >= 5);
    REQUIRE(sent_late <= 3);
}
