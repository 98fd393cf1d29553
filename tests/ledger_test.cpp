#include <catch2/catch.hpp>
#include <endivestage/ledger.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

using outcome = table_result::outcome;
using kind = table_operation::kind;

constexpr std::int64_t epoch = 1'780'000'000'000;
const std::string test_key = std::to_string(epoch) + "-order";

std::uint64_t run_count(std::uint64_t default_count)
{
    const char* text = std::getenv("ENDIVESTAGE_RUNS");
    return text == nullptr ? default_count : std::strtoull(text, nullptr, 10);
}

/// In-memory table with conditional writes.
class fake_table
{
public:
    table_result apply(const table_operation& op)
    {
        const auto it = rows_.find(op.key);
        const bool present = it != rows_.end();
        if (op.what == kind::insert
                ? present
                : present && op.what == kind::replace && it->second.version != op.expected_version)
        {
            return {outcome::conflict, it->second};
        }
        if (op.what != kind::insert && !present)
        {
            return {outcome::not_found, {}};
        }
        if (op.what != kind::read)
        {
            ++writes;
            rows_[op.key] = {op.key, present ? it->second.version + 1 : 1, op.value};
        }
        return {outcome::applied, rows_[op.key]};
    }

    const std::map<std::string, table_row>& rows() const { return rows_; }
    int writes = 0;

private:
    std::map<std::string, table_row> rows_;
};

struct simulated_attempt
{
    std::unique_ptr<request_attempt> machine;
    std::string digest;
    millis clock_offset;
    millis wall_offset;
    time_point deadline;
    std::optional<submit_operation> operation;
    std::optional<table_result> pending_result;
    std::optional<endpoint_outcome> pending_outcome;
    std::optional<answer_caller> answer;
    bool send_requested = false;
    bool ran = false;
    bool killed = false;
    bool paused = false;
    bool finished = false;
    int sends = 0;
    int answers = 0;
};

/// Simulates up to four submissions of one key through routers that are delayed, killed and cut off
/// from the table.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : random_(seed), submissions_(1 + random_.below(4)) {}

    void run()
    {
        for (int n = 0; n < 60; ++n)
        {
            store_down_ = random_.below(store_down_ ? 8 : 40) == 0 ? !store_down_ : store_down_;
            step();
        }
        store_down_ = false;
        faults_ = false;
        for (int n = 0; n < 5000 && !idle(); ++n)
        {
            step();
        }
    }

    /// Returns the rule that was violated, or an empty string.
    std::string violated_rule() const
    {
        std::map<std::string, int> runs;
        std::set<std::string> results;
        const simulated_attempt* last = nullptr;
        for (const simulated_attempt& a : attempts_)
        {
            runs[a.digest] += a.ran ? 1 : 0;
            last = last_answered_ == &a - attempts_.data() ? &a : last;
            if (a.answer && a.answer->error == errc::ok)
            {
                results.insert(a.digest + a.answer->result.body);
            }
            if (a.answers > 1 || a.sends > 1 || (!a.killed && a.answers != 1))
            {
                return "one answer and at most one send per attempt";
            }
            if (a.answer && a.answer->ran == execution::not_run && a.ran)
            {
                return "not_run for an attempt that ran";
            }
        }
        for (const auto& [digest, count] : runs)
        {
            if (count > 1)
            {
                return "at most once";
            }
            if (last == &attempts_.back() && last->digest == digest && count > 0 &&
                last->answer->ran == execution::not_run)
            {
                return "not_run as the last answer for a key that ran";
            }
        }
        return results.size() > 1 && runs.size() == 1 ? "equal results" : violated_rule_;
    }

    /// Adds the answers and runs of this simulation to totals that show which cases the test
    /// covered.
    void count(std::map<std::string, std::uint64_t>& totals) const
    {
        for (const simulated_attempt& a : attempts_)
        {
            ++totals[a.answer ? std::string(to_string(a.answer->ran)) : "killed"];
            totals["runs"] += a.ran ? 1 : 0;
        }
    }

private:
    void add_attempt()
    {
        simulated_attempt a;
        const std::string number = std::to_string(attempts_.size());
        a.digest = random_.below(16) == 0 ? "other" : "same";
        a.clock_offset = millis{static_cast<std::int64_t>(random_.below(100000))};
        a.wall_offset = millis{epoch + static_cast<std::int64_t>(random_.below(500))};
        a.deadline = now_ + a.clock_offset + millis{static_cast<std::int64_t>(random_.below(4000))};
        const simulated_attempt* last = last_answered_ < 0 ? nullptr : &attempts_[last_answered_];
        const bool retry = last != nullptr && last->answer->ran == execution::not_run;
        const attempt_id replaces(retry ? "a" + std::to_string(last_answered_) : "");
        a.machine = std::make_unique<request_attempt>(
            attempt_request{team_id("t"), test_key, a.digest, attempt_id("a" + number),
                            router_id("r" + number), a.deadline, !attempts_.empty(), replaces},
            limits_, random_);
        attempts_.push_back(std::move(a));
        perform(attempts_.back(), attempts_.back().machine->start(at(attempts_.back())));
    }

    current_time at(const simulated_attempt& a) const
    {
        return {now_ + a.clock_offset, now_ + a.wall_offset};
    }

    bool chance(std::uint64_t one_in) { return faults_ && random_.below(one_in) == 0; }

    bool idle() const
    {
        for (const simulated_attempt& a : attempts_)
        {
            if (!a.killed && !a.finished)
            {
                return false;
            }
        }
        return delayed_.empty();
    }

    void step()
    {
        now_ = now_ + millis{static_cast<std::int64_t>(random_.below(chance(25) ? 7000 : 40))};
        if (attempts_.empty() || (attempts_.size() < submissions_ && chance(8)))
        {
            add_attempt();
        }
        if (!delayed_.empty() && (!faults_ || chance(6)))
        {
            table_.apply(delayed_.back());
            delayed_.pop_back();
        }
        if (chance(30))
        {
            settle_expired_rows();
        }
        simulated_attempt& a = attempts_[random_.below(attempts_.size())];
        a.killed = a.killed || chance(a.pending_outcome ? 10 : 50);
        a.paused = faults_ && (a.paused ? !chance(8) : chance(12));
        if (!a.killed && !a.finished && !a.paused)
        {
            advance(a);
        }
    }

    void settle_expired_rows()
    {
        const time_point wall =
            now_ + millis{epoch + static_cast<std::int64_t>(random_.below(500))};
        for (const auto& [key, row] : std::map<std::string, table_row>(table_.rows()))
        {
            if (const std::optional<table_operation> op = settle_expired(row, wall, limits_))
            {
                table_.apply(*op);
            }
        }
    }

    /// Performs one step of one router: an external effect, or the arrival of a result.
    void advance(simulated_attempt& a)
    {
        if (chance(40))
        {
            perform(a, a.machine->abort(errc::overloaded, at(a)));
        }
        else if (a.pending_result)
        {
            const table_result given = *std::exchange(a.pending_result, std::nullopt);
            perform(a, a.machine->on_table_result(given, at(a)));
        }
        else if (a.operation && a.operation->not_before <= at(a).now)
        {
            a.pending_result = run_operation(std::exchange(a.operation, std::nullopt)->operation);
        }
        else if (a.send_requested)
        {
            a.send_requested = false;
            a.pending_outcome = send(a);
        }
        else if (a.pending_outcome && !chance(3))
        {
            const endpoint_outcome given = *std::exchange(a.pending_outcome, std::nullopt);
            perform(a, a.machine->on_endpoint_outcome(given, at(a)));
        }
        else
        {
            perform(a, a.machine->on_tick(at(a)));
        }
    }

    table_result run_operation(const table_operation& op)
    {
        if (store_down_)
        {
            return {random_.below(4) == 0 ? outcome::lost : outcome::unavailable, {}};
        }
        if (!chance(5))
        {
            return table_.apply(op);
        }
        switch (random_.below(3))
        {
        case 0: // Takes effect, but the result is lost.
            table_.apply(op);
            break;
        case 1: // Reaches the table much later.
            delayed_.push_back(op);
            break;
        default:
            break;
        }
        return {outcome::lost, {}};
    }

    endpoint_outcome send(simulated_attempt& a)
    {
        const std::uint64_t fault = chance(3) ? random_.below(3) : 3;
        if (fault == 0)
        {
            return endpoint_not_reached{};
        }
        a.ran = fault != 1;
        if (fault != 3)
        {
            return endpoint_connection_lost{};
        }
        return endpoint_answered{{200, "run " + std::to_string(&a - attempts_.data())}};
    }

    void check_not_run(const answer_caller& given, const simulated_attempt& a)
    {
        const attempt_id own("a" + std::to_string(&a - attempts_.data()));
        for (const auto& [key, row] : table_.rows())
        {
            const ledger_row value = *decode_row(row.value);
            if (given.ran == execution::not_run && value.attempt == own &&
                value.state != ledger_state::not_run)
            {
                violated_rule_ = "not_run before the row says it";
            }
        }
    }

    void perform(simulated_attempt& a, const attempt_actions& actions)
    {
        for (const attempt_action& it : actions)
        {
            if (const auto* op = std::get_if<submit_operation>(&it))
            {
                REQUIRE_FALSE(a.operation);
                a.operation = *op;
            }
            else if (const auto* given = std::get_if<answer_caller>(&it))
            {
                a.answer = *given;
                ++a.answers;
                last_answered_ = &a - attempts_.data();
                check_not_run(*given, a);
            }
            else if (std::holds_alternative<send_to_endpoint>(it))
            {
                a.send_requested = true;
                ++a.sends;
                violated_rule_ =
                    at(a).now < a.deadline ? violated_rule_ : "send after the deadline";
            }
            else
            {
                a.finished = true;
            }
        }
    }

    const ledger_config limits_;
    seeded_random random_;
    std::size_t submissions_;
    fake_table table_;
    std::vector<simulated_attempt> attempts_;
    std::vector<table_operation> delayed_;
    time_point now_{1000};
    std::ptrdiff_t last_answered_ = -1;
    std::string violated_rule_; ///< Rule violated by a single action.
    bool store_down_ = false;
    bool faults_ = true;
};

/// Runs one attempt against a table without faults until it requests the send or finishes.
class single_attempt
{
public:
    explicit single_attempt(fake_table& table, const std::string& name = "a",
                            const std::string& digest = "d", time_point now = {1000},
                            bool repeated = false)
        : table_(table),
          random_(1),
          now_(now),
          machine({team_id("t"), test_key, digest, attempt_id(name), router_id("r"),
                   now + millis{500}, repeated, attempt_id("first")},
                  {}, random_)
    {
    }

    void drive(attempt_actions actions)
    {
        for (std::size_t n = 0; n < actions.size(); ++n)
        {
            const attempt_action it = actions[n];
            if (const auto* op = std::get_if<submit_operation>(&it))
            {
                const table_result given = down ? table_result{} : table_.apply(op->operation);
                const attempt_actions more = machine.on_table_result(given, at());
                actions.insert(actions.end(), more.begin(), more.end());
            }
            else if (const auto* given = std::get_if<answer_caller>(&it))
            {
                answer = *given;
            }
            sent = sent || std::holds_alternative<send_to_endpoint>(it);
        }
    }

    current_time at() const { return {now_, {now_.since_epoch + epoch}}; }

private:
    fake_table& table_;
    seeded_random random_;
    time_point now_;

public:
    request_attempt machine;
    std::optional<answer_caller> answer;
    bool sent = false;
    bool down = false;
};

} // namespace

// Guards against a request that runs twice, a false not_run and a caller without an answer. The
// simulation has lost results, late writes, store outages, paused and killed routers and concurrent
// submissions.
TEST_CASE("interleaved attempts of one key keep the rules of the ledger")
{
    const std::uint64_t runs = run_count(150000);
    std::map<std::string, std::uint64_t> totals;
    for (std::uint64_t n = 0; n < runs; ++n)
    {
        const std::uint64_t seed = 20261204 + n;
        simulation interleaving(seed);
        interleaving.run();
        interleaving.count(totals);
        const std::string violated = interleaving.violated_rule();
        if (!violated.empty())
        {
            FAIL("seed " << seed << ": " << violated);
        }
    }
    std::cout << "ledger: " << runs << " interleavings tried;";
    for (const auto& [name, count] : totals)
    {
        REQUIRE((count > 0 || runs < 1000));
        std::cout << ' ' << name << '=' << count;
    }
    std::cout << '\n';
}

// Guards against more writes per request than the two before and the one after the send that the
// write budget of the store allows for.
TEST_CASE("a request without faults takes three writes and a second caller gets the same result")
{
    fake_table table;
    single_attempt first(table);
    first.drive(first.machine.start(first.at()));
    REQUIRE(first.sent);
    REQUIRE(table.writes == 2);
    single_attempt early(table, "b");
    early.drive(early.machine.start(early.at()));
    REQUIRE(early.answer->error == errc::outcome_pending);
    first.drive(first.machine.on_endpoint_outcome(
        endpoint_answered{{201, std::string("\xff\0x", 3)}}, first.at()));
    REQUIRE(table.writes == 3);
    single_attempt second(table, "c");
    second.drive(second.machine.start(second.at()));
    REQUIRE(second.answer->result == first.answer->result);
    single_attempt other(table, "d", "another body");
    other.drive(other.machine.start(other.at()));
    REQUIRE(other.answer->error == errc::key_reused);
    REQUIRE_FALSE(other.sent);
}

// Guards against not_run for a key that an earlier submission may have run, while the store is
// unavailable.
TEST_CASE("without the store only a first submission is refused with not_run")
{
    for (const bool repeated : {false, true})
    {
        fake_table table;
        single_attempt it(table, "a", "d", {1000}, repeated);
        it.down = true;
        it.drive(it.machine.start(it.at()));
        REQUIRE(it.answer->error == errc::store_unavailable);
        REQUIRE(it.answer->ran == (repeated ? execution::unknown : execution::not_run));
    }
}

// Guards against not_run for a key that another caller submitted, when the store goes down between
// the conflict and the replacement of the row.
TEST_CASE("a key seen in the table is not refused with not_run")
{
    fake_table table;
    single_attempt it(table, "a", "d", {60000});
    it.machine.start(it.at());
    const ledger_row expired{
        ledger_state::reserved, attempt_id("b"), router_id("r"), "d", {}, {}, {}};
    const attempt_actions replace = it.machine.on_table_result(
        {outcome::conflict, {"request", 1, encode_row(expired)}}, it.at());
    REQUIRE(std::get<submit_operation>(replace.at(0)).operation.expected_version == 1);
    const attempt_actions refusal = it.machine.on_table_result({}, it.at());
    REQUIRE(std::get<answer_caller>(refusal.at(0)).ran == execution::unknown);
}

// Guards against a delayed attempt that runs a key after the caller of a later attempt got not_run.
TEST_CASE("an attempt that started before the key was settled does not run it")
{
    struct
    {
        std::string attempt;
        std::int64_t settled;
        bool runs;
    } const cases[] = {{"b", 59'499, true}, {"b", 59'500, false}, {"first", 59'999, true}};
    for (const auto& [attempt, settled, runs] : cases)
    {
        fake_table table;
        single_attempt it(table, "a", "d", {60000}, true);
        const ledger_row row{ledger_state::not_run,
                             attempt_id(attempt),
                             router_id("r"),
                             "d",
                             {},
                             {epoch + settled},
                             {}};
        table.apply({kind::insert, row_key(team_id("t"), test_key), 0, encode_row(row)});
        it.drive(it.machine.start(it.at()));
        REQUIRE(it.sent == runs);
        REQUIRE((runs || it.answer->ran == execution::not_run));
    }
}

// Guards against a caller that gets no answer because the store is down when the answer is
// recorded.
TEST_CASE("the caller gets the result while the store is down")
{
    fake_table table;
    single_attempt it(table);
    it.drive(it.machine.start(it.at()));
    const attempt_actions actions =
        it.machine.on_endpoint_outcome(endpoint_answered{{200, "ok"}}, it.at());
    REQUIRE(std::get<answer_caller>(actions.at(0)).result.body == "ok");
    attempt_actions more = it.machine.on_table_result({}, it.at());
    for (int n = 0; n < 20; ++n)
    {
        more = it.machine.on_table_result({}, it.at());
    }
    table.apply(std::get<submit_operation>(more.at(0)).operation);
    REQUIRE(decode_row(table.rows().begin()->second.value)->state == ledger_state::done);
}

// Guards against a reserved key that blocks its request forever, and against a key that cannot be
// used again after not_run.
TEST_CASE("a later attempt replaces not_run and expired reservations")
{
    fake_table table;
    single_attempt dead(table);
    table.apply(std::get<submit_operation>(dead.machine.start(dead.at()).at(0)).operation);
    single_attempt unreached(table, "b", "d", {60000}, true);
    unreached.drive(unreached.machine.start(unreached.at()));
    REQUIRE(unreached.sent);
    unreached.drive(unreached.machine.on_endpoint_outcome(endpoint_not_reached{}, unreached.at()));
    REQUIRE(unreached.answer->error == errc::endpoint_unavailable);
    REQUIRE(unreached.answer->ran == execution::not_run);
    single_attempt last(table, "c", "d", {70000}, true);
    last.drive(last.machine.start(last.at()));
    REQUIRE(last.sent);
}

// Guards against a change of an unknown row by anyone but an operator.
TEST_CASE("an unknown row is settled only by an operator, and only after its deadline")
{
    ledger_row row{ledger_state::unknown, attempt_id("a"), router_id("r"), "d", {1000}, {900}, {}};
    const table_row stored{"request/t/k", 3, encode_row(row)};
    const ledger_config limits;
    REQUIRE_FALSE(settle_expired(stored, {1'000'000}, limits));
    REQUIRE(settle_unknown(stored, ledger_state::done, {}, {1000}, limits).error() ==
            errc::conflict);
    const auto op = settle_unknown(stored, ledger_state::done, {200, "x"}, {10000}, limits);
    REQUIRE(decode_row(op->value)->answer.body == "x");
    REQUIRE(op->expected_version == 3);
}

// Guards against keys that are accepted after their row was erased, and against rows that two
// requests share.
TEST_CASE("a key has a limited age, and different requests have different rows")
{
    const ledger_config limits;
    const time_point now{epoch};
    const auto aged = [](std::int64_t age)
    {
        return std::to_string(epoch - age) + "-k";
    };
    REQUIRE(check_key(aged(0), now, limits) == errc::ok);
    REQUIRE(check_key(aged(86'400'001), now, limits) == errc::key_expired);
    REQUIRE(check_key(aged(-501), now, limits) == errc::invalid_request);
    REQUIRE(check_key("019e70c5-3c00-7000-8000-000000000000", {0x019e70c53c00}, limits) ==
            errc::ok);
    for (const char* bad : {"", "-", "12", "12-", "x-1", "1 -a", "9999999999999999-a", "-1-a"})
    {
        REQUIRE(check_key(bad, now, limits) == errc::invalid_request);
    }
    REQUIRE(row_key(team_id("a/b"), "c") != row_key(team_id("a"), "b/c"));
    REQUIRE(row_key(team_id("a%2Fb"), "c") != row_key(team_id("a/b"), "c"));
}

// Guards against a row that loses bytes of the answer when it is encoded.
TEST_CASE("a row survives encoding")
{
    REQUIRE(rc::check("decode(encode(row)) == row",
                      [](const std::string& body, std::uint8_t status, std::int64_t deadline)
                      {
                          const ledger_row row{ledger_state::done, attempt_id("a"),
                                               router_id("r"),     "d",
                                               {deadline},         {1},
                                               {status, body},     /* body_stored= */ true};
                          RC_ASSERT(*decode_row(encode_row(row)) == row);
                      }));
}

// Guards against operations that wait without bound, groups that exceed the transaction limit, and
// two dependent operations in one transaction.
TEST_CASE("operations are grouped by count, time and row")
{
    write_batch batch;
    std::optional<write_batch::group> group;
    for (std::uint64_t n = 0; n < 64; ++n)
    {
        REQUIRE_FALSE(group);
        group = batch.add(n, {kind::insert, "k" + std::to_string(n), 0, ""}, {10});
    }
    REQUIRE(group->size() == 64);
    REQUIRE_FALSE(batch.due_at());
    REQUIRE_FALSE(batch.add(1, {kind::insert, "k", 0, ""}, {20}));
    REQUIRE(batch.add(2, {kind::replace, "k", 1, ""}, {21})->front().ticket == 1);
    REQUIRE_FALSE(batch.take_due({25}));
    REQUIRE(batch.take_due({26})->front().ticket == 2);
}
