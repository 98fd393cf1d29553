#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivestage;

namespace
{

route make_route(execution_semantics repeat, std::uint32_t attempts)
{
    route made;
    made.semantics = repeat;
    made.streaming = repeat == execution_semantics::resumable;
    made.max_attempts = attempts;
    made.timeout = millis{2500};
    made.latency_objective = millis{150};
    return made;
}

constexpr time_budget ample{millis{2000}, millis{150}};

attempt_history make_history(std::uint32_t sends, std::uint32_t runs, bool begun = false)
{
    attempt_history history;
    history.sends = sends;
    history.possible_executions = runs;
    history.response_started = begun;
    return history;
}

} // namespace

// Fault: the answer to an executed request is lost. A second send would place an order twice.
TEST_CASE("a request that may run once is not sent again after a broken answer")
{
    const route once = make_route(execution_semantics::at_most_once, 2);
    REQUIRE(decide_next_step(once, endpoint_outcome::broken, make_history(1, 1), ample) ==
            next_step::fail);
    REQUIRE(decide_next_step(once, endpoint_outcome::failed, make_history(1, 1), ample) ==
            next_step::deliver);
}

// Fault: engines are full or replaced. Their refusal is proof that the request did not run.
TEST_CASE("a request that may run once goes on after proof that it did not run")
{
    const route once = make_route(execution_semantics::at_most_once, 1);
    REQUIRE(decide_next_step(once, endpoint_outcome::shed, make_history(1, 0), ample) ==
            next_step::try_another);
    REQUIRE(decide_next_step(once, endpoint_outcome::misdirected, make_history(1, 0), ample) ==
            next_step::try_another);
    attempt_history unreachable;
    unreachable.connect_failures = 1;
    REQUIRE(decide_next_step(once, endpoint_outcome::unreachable, unreachable, ample) ==
            next_step::try_another);
}

TEST_CASE("idempotent requests are repeated up to the route's attempts")
{
    const route idempotent = make_route(execution_semantics::idempotent, 2);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::broken, make_history(1, 1), ample) ==
            next_step::try_another);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::broken, make_history(2, 2), ample) ==
            next_step::fail);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::failed, make_history(2, 2), ample) ==
            next_step::deliver);
}

// Fault: an engine breaks off in the middle of a stream.
TEST_CASE("only a resumable stream goes on after its first event")
{
    const route resumable = make_route(execution_semantics::resumable, 2);
    const route idempotent = make_route(execution_semantics::idempotent, 2);
    REQUIRE(decide_next_step(resumable, endpoint_outcome::broken, make_history(1, 1, true),
                             ample) == next_step::try_another);
    REQUIRE(decide_next_step(idempotent, endpoint_outcome::broken, make_history(1, 1, true),
                             ample) == next_step::fail);
}

// Load: a surge. Requests that no endpoint takes are refused at once, not tried until their end.
TEST_CASE("refusals end after a few sends, and without time left")
{
    const route once = make_route(execution_semantics::at_most_once, 1);
    REQUIRE(decide_next_step(once, endpoint_outcome::shed, make_history(4, 0), ample) ==
            next_step::refuse);
    REQUIRE(decide_next_step(once, endpoint_outcome::shed, make_history(1, 0),
                             {millis{10}, millis{150}}) == next_step::refuse);
}

// Property: a refusal that says "not run" is true, and a request that may run once is never sent
// again after a send without proof.
TEST_CASE("the promise of a refusal holds for every history")
{
    rc::check("promise",
              []
              {
                  const execution_semantics repeat = *rc::gen::element(
                      execution_semantics::at_most_once, execution_semantics::idempotent,
                      execution_semantics::resumable);
                  const route where =
                      make_route(repeat, static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)));
                  const endpoint_outcome outcome =
                      *rc::gen::element(endpoint_outcome::failed, endpoint_outcome::shed,
                                        endpoint_outcome::misdirected,
                                        endpoint_outcome::unreachable, endpoint_outcome::broken);
                  const std::uint32_t runs = static_cast<std::uint32_t>(*rc::gen::inRange(0, 4));
                  attempt_history history =
                      make_history(runs + static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)), runs,
                                   runs > 0 && *rc::gen::arbitrary<bool>());
                  const bool counts_as_run =
                      outcome == endpoint_outcome::failed || outcome == endpoint_outcome::broken;
                  if (counts_as_run && runs == 0)
                  {
                      history.possible_executions = 1;
                      history.sends = std::max(history.sends, 1U);
                  }
                  const next_step step = decide_next_step(
                      where, outcome, history, {millis{*rc::gen::inRange(0, 3000)}, millis{150}});
                  if (step == next_step::refuse)
                  {
                      RC_ASSERT(history.possible_executions == 0U);
                  }
                  if (step == next_step::try_another && repeat == execution_semantics::at_most_once)
                  {
                      RC_ASSERT(history.possible_executions == 0U);
                  }
                  if (step == next_step::try_another)
                  {
                      RC_ASSERT(history.possible_executions < std::max(where.max_attempts, 1U));
                  }
              });
    SUCCEED();
}

// Fault: an engine falls silent. A request that may be repeated does not wait for it to the end.
TEST_CASE("the first answer is awaited for part of the time only while another attempt is left")
{
    const route idempotent = make_route(execution_semantics::idempotent, 2);
    REQUIRE(first_response_timeout(idempotent, make_history(0, 0), ample) < ample.remaining);
    REQUIRE(first_response_timeout(idempotent, make_history(1, 1), ample) == ample.remaining);
    const route once = make_route(execution_semantics::at_most_once, 2);
    REQUIRE(first_response_timeout(once, make_history(0, 0), ample) == ample.remaining);
}
