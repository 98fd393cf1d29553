#include <endivestage/routing/attempt_policy.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// A failed connection costs about a round trip. After this many the whole service is assumed to be
/// unreachable.
constexpr std::uint32_t max_connect_failures = 4;
/// Number of sends of one request that endpoints may reject as not executed.
constexpr std::uint32_t max_sends = 4;
/// No endpoint can answer within less time.
constexpr millis min_attempt_time{25};
/// A shorter wait would take a delay of a router's event loop for a failure of the endpoint; hosts
/// with an eighth of a core pause for tens of milliseconds.
constexpr millis min_first_response_timeout{50};
constexpr std::int64_t min_timeout_divisor = 4; ///< Of the latency objective.

} // namespace

std::string_view to_string(next_step step)
{
    switch (step)
    {
    case next_step::try_another:
        return "try_another";
    case next_step::refuse:
        return "refuse";
    case next_step::deliver:
        return "deliver";
    case next_step::fail:
        break;
    }
    return "fail";
}

next_step decide_next_step(const route& matched, endpoint_outcome outcome,
                           const attempt_history& history, time_budget time)
{
    const bool repeatable = matched.semantics != execution_semantics::at_most_once;
    const bool may_have_run = history.possible_executions > 0;
    const bool another_run_allowed =
        repeatable && history.possible_executions < matched.max_attempts;
    const bool in_time = time.remaining > min_attempt_time;
    const next_step give_up =
        may_have_run || history.response_started ? next_step::fail : next_step::refuse;
    if (history.response_started && matched.semantics != execution_semantics::resumable)
    {
        return next_step::fail;
    }
    switch (outcome)
    {
    case endpoint_outcome::unreachable:
        if (in_time && history.connect_failures < max_connect_failures &&
            (!may_have_run || another_run_allowed))
        {
            return next_step::try_another;
        }
        return give_up;
    case endpoint_outcome::shed:
    case endpoint_outcome::misdirected:
        if (in_time && history.sends < max_sends && (!may_have_run || another_run_allowed))
        {
            return next_step::try_another;
        }
        return give_up;
    case endpoint_outcome::failed:
        return in_time && another_run_allowed ? next_step::try_another : next_step::deliver;
    case endpoint_outcome::broken:
        return in_time && another_run_allowed ? next_step::try_another : next_step::fail;
    case endpoint_outcome::served:
        break;
    }
    return next_step::fail;
}

millis first_response_timeout(const route& matched, const attempt_history& history,
                              time_budget time)
{
    const bool last = matched.semantics == execution_semantics::at_most_once ||
                      history.possible_executions + 1 >= matched.max_attempts;
    if (last || time.latency_objective <= millis{0})
    {
        return time.remaining;
    }
    // A plain answer that is still missing after two thirds of the objective is more likely lost
    // than slow. The first event of a stream may have to wait for the engine's next batch, so it
    // gets the whole objective.
    const millis max_wait =
        matched.streaming ? time.latency_objective : time.latency_objective * 2 / 3;
    return std::min(time.remaining, max_wait);
}

millis first_response_timeout(const route& matched, const attempt_history& history,
                              time_budget time, millis expected)
{
    const millis longest = first_response_timeout(matched, history, time);
    const bool last = longest == time.remaining;
    const millis shortest =
        std::max(min_first_response_timeout, time.latency_objective / min_timeout_divisor);
    return last ? longest : std::min(longest, std::max(shortest, expected));
}

} // namespace endivestage
