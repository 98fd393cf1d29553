#include <catch2/catch.hpp>
#include <endivestage/stream.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <string>

using namespace endivestage;

namespace
{

std::uint64_t run_count(std::uint64_t default_count)
{
    const char* text = std::getenv("ENDIVESTAGE_RUNS");
    return text == nullptr ? default_count : std::strtoull(text, nullptr, 10);
}

struct sent_event
{
    request_id request;
    std::uint64_t offset = 0;
    std::string data;
    bool final = false;
};

struct connection_state
{
    std::deque<sent_event> events;
    bool closes = false; ///< Whether it closes after the last event instead of staying silent.
};

/// Simulates one answer from engines that fail, over connections that truncate, reorder and stall.
class stream_simulation
{
public:
    explicit stream_simulation(std::uint64_t seed) : random_(seed), stall_({}, now_)
    {
        for (std::uint64_t n = 0; n < random_.below(200); ++n)
        {
            answer_ += static_cast<char>('a' + random_.below(26));
        }
        idempotent_ = random_.below(4) != 0;
        fault_rate_ = 2 + random_.below(12);
        continuation_.emplace(request_id("q"), idempotent_, answer_.size());
        open(1, 0);
    }

    /// Returns the violated rule, or an empty string.
    std::string run()
    {
        for (int n = 0; n < 3000 && !ended_; ++n)
        {
            step();
            if (answer_.compare(0, out_.size(), out_) != 0)
            {
                return "foreign, repeated or missing bytes";
            }
            if (unconsumed_ > limits_.max_buffer_size)
            {
                return "buffer above its limit";
            }
        }
        if (!ended_)
        {
            return "no end";
        }
        return *ended_ == errc::ok && out_ != answer_ ? "truncated" : "";
    }

    errc end() const { return *ended_; }
    bool continued() const { return engine_base_ > 0; }

private:
    bool chance(std::uint64_t one_in) { return random_.below(one_in) == 0; }

    /// Queues the engine's answer from an offset on a connection, with injected faults.
    void open(std::uint64_t number, std::uint64_t offset)
    {
        connection_state& it = connections_[number];
        if (!engine_alive_)
        {
            it.closes = true;
            return;
        }
        const std::string text = answer_.substr(engine_base_);
        std::uint64_t at = offset - std::min<std::uint64_t>(offset, chance(4) ? 3 : 0);
        do
        {
            const std::uint64_t size = std::min<std::uint64_t>(random_.below(8), text.size() - at);
            it.events.push_back({engine_request_, at, text.substr(at, size), false});
            at += size;
        } while (at < text.size());
        it.events.back().final = true;
        inject_faults(it);
    }

    void inject_faults(connection_state& it)
    {
        it.closes = chance(2);
        for (std::size_t n = 0; n < it.events.size(); ++n)
        {
            if (!chance(fault_rate_))
            {
                continue;
            }
            switch (random_.below(5))
            {
            case 0: // Truncation, followed by the end of the connection or by silence.
                it.events.erase(it.events.begin() + static_cast<std::ptrdiff_t>(n),
                                it.events.end());
                break;
            case 1: // Duplicate.
                it.events.push_back(it.events[n]);
                break;
            case 2: // Reordering.
                std::swap(it.events[n], it.events[random_.below(it.events.size())]);
                break;
            case 3: // Event of another request.
                it.events[n].request = request_id("other");
                it.events[n].data = "#####";
                break;
            default: // The second of two events repeats the data of the first.
                if (n + 1 < it.events.size() &&
                    it.events[n + 1].offset == it.events[n].offset + it.events[n].data.size())
                {
                    it.events[n + 1].data.insert(0, it.events[n].data);
                    it.events[n + 1].offset = it.events[n].offset;
                }
                break;
            }
        }
    }

    void step()
    {
        engine_alive_ = engine_alive_ && !chance(40);
        if (unconsumed_ > 0 && chance(2))
        {
            const std::size_t n = 1 + random_.below(unconsumed_);
            unconsumed_ -= n;
            apply(assembler_.on_consumed(n));
        }
        // Any connection, also an abandoned one, may deliver an event.
        auto it = connections_.begin();
        std::advance(it, random_.below(connections_.size()));
        const std::uint64_t number = it->first;
        if (!it->second.events.empty() && (!paused_ || chance(6)))
        {
            const sent_event event = it->second.events.front();
            it->second.events.pop_front();
            apply(assembler_.on_event(number,
                                      {event.request, event.offset, event.data, event.final}));
        }
        else if (it->second.events.empty() && it->second.closes)
        {
            it->second.closes = false;
            apply(assembler_.on_closed(number));
        }
        else
        {
            tick();
        }
    }

    void tick()
    {
        now_ = now_ + millis{500};
        for (const stall_action& it : stall_.on_tick(now_))
        {
            if (std::holds_alternative<ping_endpoint>(it))
            {
                probing_ = true;
            }
            handle_stall(it);
        }
        if (probing_ && !ended_)
        {
            probing_ = false;
            stall_actions results = stall_.on_ping(engine_alive_, now_);
            const stall_actions more = stall_.on_resume(engine_alive_, now_);
            results.insert(results.end(), more.begin(), more.end());
            apply(assembler_.reconnect());
            for (const stall_action& it : results)
            {
                handle_stall(it);
            }
        }
    }

    void handle_stall(const stall_action& it)
    {
        if (!ended_ && (std::holds_alternative<suspect_endpoint>(it) ||
                        std::holds_alternative<abandon_stream>(it)))
        {
            continue_on_next_engine();
        }
    }

    void continue_on_next_engine()
    {
        const result<continuation_request> next = continuation_->next_request();
        if (!next)
        {
            ended_ = static_cast<errc>(next.error().value());
            return;
        }
        if (next->prefix != out_ || next->prefix_tokens != out_.size())
        {
            out_ += "wrong prefix";
            return;
        }
        engine_base_ = out_.size();
        engine_request_ = next->request;
        engine_alive_ = true;
        stall_ = stall_detector({}, now_);
        open(assembler_.switch_endpoint(next->request), 0);
    }

    void apply(const stream_actions& actions)
    {
        for (const stream_action& it : actions)
        {
            if (const auto* bytes = std::get_if<deliver_bytes>(&it))
            {
                out_ += bytes->data;
                unconsumed_ += bytes->data.size();
                continuation_->on_delivered(bytes->data, bytes->data.size());
                stall_.on_progress(now_);
            }
            else if (const auto* resume = std::get_if<resume_stream>(&it))
            {
                open(resume->connection, resume->offset);
            }
            else if (std::holds_alternative<complete_answer>(it))
            {
                ended_ = errc::ok;
            }
            else if (std::holds_alternative<fail_answer>(it) && !ended_)
            {
                continue_on_next_engine();
            }
            paused_ = std::holds_alternative<pause_reading>(it) ||
                      (paused_ && !std::holds_alternative<continue_reading>(it));
        }
        stall_.set_paused(paused_, now_);
    }

    const assembler_config limits_{8, 2, 16, 4};
    seeded_random random_;
    time_point now_{1000};
    stall_detector stall_;
    answer_assembler assembler_{request_id("q"), limits_};
    std::optional<answer_continuation> continuation_;
    std::map<std::uint64_t, connection_state> connections_;
    std::string answer_;
    std::string out_;
    request_id engine_request_{"q"};
    std::size_t engine_base_ = 0;
    std::size_t unconsumed_ = 0;
    std::uint64_t fault_rate_ = 0;
    std::optional<errc> ended_;
    bool idempotent_ = true;
    bool engine_alive_ = true;
    bool paused_ = false;
    bool probing_ = false;
};

/// Signs with a hash over the key and every byte of the text.
class test_signer final : public token_signer
{
public:
    explicit test_signer(std::string key) : key_(std::move(key)) {}

    std::string sign(std::string_view text) const override
    {
        return std::to_string(hash64(key_ + std::string(text)));
    }

    bool verify(std::string_view text, std::string_view signature) const override
    {
        return sign(text) == signature;
    }

private:
    std::string key_;
};

} // namespace

// Guards against answers that are truncated, mixed with other answers or repeated in part, and
// against streams that never end. Faults: truncated and silent connections, duplicated, reordered
// and overlapping events, events of other requests, and engine failures.
TEST_CASE("a caller gets the exact answer or an explicit error")
{
    const std::uint64_t runs = run_count(300000);
    std::map<std::string, std::uint64_t> totals;
    for (std::uint64_t n = 0; n < runs; ++n)
    {
        const std::uint64_t seed = 20261204 + n;
        stream_simulation simulation(seed);
        const std::string violation = simulation.run();
        if (!violation.empty())
        {
            FAIL("seed " << seed << ": " << violation);
        }
        ++totals[std::string(to_string(simulation.end())) +
                 (simulation.continued() ? "_continued" : "")];
    }
    std::cout << "stream: " << runs << " streams tried;";
    for (const auto& [name, count] : totals)
    {
        std::cout << ' ' << name << '=' << count;
    }
    std::cout << '\n';
}

// Guards against a gap that is noticed only at the progress timeout, events of an abandoned
// connection that affect the new one, and an endless series of resumes.
TEST_CASE("a gap is resumed at once, and resumes without a new byte are bounded")
{
    answer_assembler assembler(request_id("q"));
    assembler.on_event(1, {request_id("q"), 0, "ab", false});
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        const stream_actions actions = assembler.on_event(n, {request_id("q"), 3, "d", false});
        REQUIRE(std::get<close_connection>(actions.at(0)).connection == n);
        REQUIRE(std::get<resume_stream>(actions.at(1)).offset == 2);
        REQUIRE(assembler.on_closed(n).empty());
        REQUIRE(assembler.on_event(n, {request_id("q"), 2, "c", false}).empty());
    }
    const stream_actions last = assembler.on_closed(5);
    REQUIRE(std::get<fail_answer>(last.at(1)).reason == errc::endpoint_unavailable);
    REQUIRE(assembler.has_ended());
}

// Guards against tokens that lose a field, and against modified tokens that are accepted.
TEST_CASE("a resume token round-trips, and any change to it is detected")
{
    const test_signer signer("k");
    REQUIRE(rc::check(
        "decode(encode(token)) == token, and no changed text is accepted",
        [&](const std::string& request, const std::string& pool, std::int64_t created,
            std::uint16_t position, std::uint8_t replacement)
        {
            const resume_token token{request_id(request), pool_id(pool),  endpoint_id("e:1"),
                                     team_id(""),         router_id("r"), {created}};
            std::string text = encode_token(token, signer);
            RC_ASSERT(text.find_first_not_of("0123456789ABCDEF.") == std::string::npos);
            RC_ASSERT(*decode_token(text, signer) == token);
            RC_ASSERT(decode_token(text, test_signer("x")).error() == errc::unauthorized);
            char& changed = text[position % text.size()];
            const char digit = "0123456789ABCDEF."[replacement % 17];
            RC_PRE(changed != digit);
            changed = digit;
            RC_ASSERT(!decode_token(text, signer));
        }));
    REQUIRE(decode_token(std::string(max_token_size + 1, 'A'), signer).error() == errc::too_large);
    REQUIRE(is_token_expired({{}, {}, {}, {}, {}, {10}}, {16}, millis{5}));
    REQUIRE_FALSE(is_token_expired({{}, {}, {}, {}, {}, {10}}, {15}, millis{5}));
}

// Guards against an endpoint that is suspected because of one silent connection or a slow caller,
// and against a stream that hangs on an endpoint that responds but sends no data.
TEST_CASE("only a failed ping together with a failed resume suspects the endpoint")
{
    for (const bool ping : {false, true})
    {
        for (const bool resume : {false, true})
        {
            stall_detector detector({}, {0});
            REQUIRE(detector.on_tick({2999}).empty());
            REQUIRE(detector.on_tick({3000}).size() == 2);
            REQUIRE(detector.on_ping(ping, {3100}).empty());
            REQUIRE(detector.on_resume(resume, {3200}).size() == (ping || resume ? 0 : 1));
        }
    }
    stall_detector silent({}, {0});
    silent.on_tick({3000});
    REQUIRE(std::holds_alternative<suspect_endpoint>(silent.on_tick({4000}).at(0)));
    stall_detector paused({}, {0});
    paused.set_paused(true, {0});
    REQUIRE_FALSE(paused.next_tick());
    stall_detector hanging({}, {0});
    std::size_t rounds = 0;
    for (std::int64_t now = 0; hanging.next_tick(); now += 100)
    {
        rounds += hanging.on_tick({now}).size() == 2 ? 1 : 0;
        hanging.on_resume(true, {now});
    }
    REQUIRE(rounds == 3);
}

// Guards against repeating a request that is not idempotent, against a continuation whose prefix
// was not kept, and against more tokens than the caller's limit.
TEST_CASE("a continuation is refused when it would not be exact")
{
    answer_continuation not_idempotent(request_id("q"), false, 10);
    REQUIRE(not_idempotent.next_request().error() == errc::outcome_unknown);
    answer_continuation large(request_id("q"), true, 10, {3, 4});
    large.on_delivered("12345", 1);
    REQUIRE(large.next_request().error() == errc::too_large);
    answer_continuation full(request_id("q"), true, 2, {2, 100});
    full.on_delivered("12", 2);
    REQUIRE(full.next_request()->max_tokens == 0);
    REQUIRE(full.next_request()->request != request_id("q~1"));
    REQUIRE(full.next_request().error() == errc::endpoint_unavailable);
}
