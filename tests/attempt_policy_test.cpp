#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivestage;

namespace
{

route make_route(execution_semantics semantics, std::uint32_t max_attempts)
{
    route created;
    created.semantics = semantics;
    created.streaming = semantics == execution_semantics::resumable;
    created.max_attempts = max_attempts;
    created.timeout = millis{2500};
    created.latency_objective = millis{150};
    return created;
}

constexpr time_budget ample_time{millis{2000}, millis{150}};

attempt_history make_history(std::uint32_t sends, std::uint32_t executions, bool started = false)
{
    attempt_history history;
    history.sends = sends;
    history.possible_executions = executions;
    history.response_started = started;
    return history;
}

} // namespace

// Guards against duplicate orders: the answer to an executed request is lost, and a second send
// would execute it again.
TEST_CASE("an at-most-once request is not retried after a broken or failed answer")
{
    const route once = make_route(execution_semantics::at_most_once, 2);
    REQUIRE(decide_next_step(once, endpoint_outcome::broken, make_history(1, 1), ample_time) ==
            next_step::fail);
    REQUIRE(decide_next_step(once, endpoint_outcome::failed, make_history(1, 1), ample_time) ==
            next_step::deliver);
}

// Endpoints that are full, replaced or unreachable prove that the request was not executed.
TEST_CASE("an at-most-once request is retried after proof that it was not executed")
{
    const route once = make_route(execution_semantics::at_most_once, 1);
    REQUIRE(decide_next_step(once, endpoint_outcome::shed, make_history(1, 0), ample_time) ==
            next_step::try_another);
    REQUIRE(decide_next_step(once, endpoint_outcome::misdirected, make_history(1, 0), ample_time) ==
            next_step::try_another);
    attempt_history unreachable;
    unreachable.connect_failures = 1;
    REQUIRE(decide_next_step(once, endpoint_outcome::unreachable, unreachable, ample_time) ==
            next_step::try_another);
}

TEST_CASE("idempotent requests are retried up to the route's max_attempts")
{
    const route idempotent = make_route(execution_semantics::idempotent, 2);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::broken, make_history(1, 1),
                             ample_time) == next_step::try_another);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::broken, make_history(2, 2),
                             ample_time) == next_step::fail);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::failed, make_history(2, 2),
                             ample_time) == next_step::deliver);
}

// Fault: the connection to an engine is lost in the middle of a stream.
TEST_CASE("only a resumable stream is retried after its first event")
{
    const route resumable = make_route(execution_semantics::resumable, 2);
    const route idempotent = make_route(execution_semantics::idempotent, 2);
    REQUIRE(decide_next_step(resumable, endpoint_outcome::broken, make_history(1, 1, true),
                             ample_time) == next_step::try_another);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::broken, make_history(1, 1, true),
                             ample_time) == next_step::fail);
}

// Load: during a surge, requests that no endpoint accepts are refused early instead of being
// retried until their deadline.
TEST_CASE("retries of shed requests end after max_sends and when no time remains")
{
    const route once = make_route(execution_semantics::at_most_once, 1);
    REQUIRE(decide_next_step(once, endpoint_outcome::shed, make_history(4, 0), ample_time) ==
            next_step::refuse);
    REQUIRE(decide_next_step(once, endpoint_outcome::shed, make_history(1, 0),
                             {millis{10}, millis{150}}) == next_step::refuse);
}

// Property: a request is refused as not executed only if that is certain, and an at-most-once
// request is never sent again after a send that may have been executed.
TEST_CASE("refusals and retries are correct for every attempt history")
{
    rc::check(
        "promise",
        []
        {
            const execution_semantics semantics =
                *rc::gen::element(execution_semantics::at_most_once,
                                  execution_semantics::idempotent, execution_semantics::resumable);
            const route matched =
                make_route(semantics, static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)));
            const endpoint_outcome outcome = *rc::gen::element(
                endpoint_outcome::failed, endpoint_outcome::shed, endpoint_outcome::misdirected,
                endpoint_outcome::unreachable, endpoint_outcome::broken);
            const std::uint32_t executions = static_cast<std::uint32_t>(*rc::gen::inRange(0, 4));
            attempt_history history =
                make_history(executions + static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)),
                             executions, executions > 0 && *rc::gen::arbitrary<bool>());
            const bool may_have_run =
                outcome == endpoint_outcome::failed || outcome == endpoint_outcome::broken;
            if (may_have_run && executions == 0)
            {
                history.possible_executions = 1;
                history.sends = std::max(history.sends, 1U);
            }
            const next_step step = decide_next_step(
                matched, outcome, history, {millis{*rc::gen::inRange(0, 3000)}, millis{150}});
            if (step == next_step::refuse)
            {
                RC_ASSERT(history.possible_executions == 0U);
            }
            if (step == next_step::try_another && semantics == execution_semantics::at_most_once)
            {
                RC_ASSERT(history.possible_executions == 0U);
            }
            if (step == next_step::try_another)
            {
                RC_ASSERT(history.possible_executions < std::max(matched.max_attempts, 1U));
            }
        });
    SUCCEED();
}

// Fault: an engine stops responding. A request that may be retried must not wait for it until the
// deadline.
TEST_CASE("the first response timeout is shorter than the deadline while a retry is possible")
{
    const route idempotent = make_route(execution_semantics::idempotent, 2);
    REQUIRE(first_response_timeout(idempotent, make_history(0, 0), ample_time) <
            ample_time.remaining);
    REQUIRE(first_response_timeout(idempotent, make_history(1, 1), ample_time) ==
            ample_time.remaining);
    const route once = make_route(execution_semantics::at_most_once, 2);
    REQUIRE(first_response_timeout(once, make_history(0, 0), ample_time) == ample_time.remaining);
}
