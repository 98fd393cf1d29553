#include <endivestage/routing/attempt_policy.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// Connections that fail cost about a round trip each; more of them say that the service is away.
constexpr std::uint32_t most_connect_failures = 4;
/// Sends that endpoints may turn away as not executed, for one request.
constexpr std::uint32_t most_sends = 4;
/// With less time left no endpoint can answer.
constexpr millis least_useful_time{25};

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

next_step decide_next_step(const route& where, endpoint_outcome outcome,
                           const attempt_history& history, time_budget time)
{
    const bool repeatable = where.semantics != execution_semantics::at_most_once;
    const bool may_have_run = history.possible_executions > 0;
    const bool another_run_allowed = repeatable && history.possible_executions < where.max_attempts;
    const bool in_time = time.remaining > least_useful_time;
    const next_step give_up =
        may_have_run || history.response_started ? next_step::fail : next_step::refuse;
    if (history.response_started && where.semantics != execution_semantics::resumable)
    {
        return next_step::fail;
    }
    switch (outcome)
    {
    case endpoint_outcome::unreachable:
        if (in_time && history.connect_failures < most_connect_failures &&
            (!may_have_run || another_run_allowed))
        {
            return next_step::try_another;
        }
        return give_up;
    case endpoint_outcome::shed:
    case endpoint_outcome::misdirected:
        if (in_time && history.sends < most_sends && (!may_have_run || another_run_allowed))
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

millis first_response_timeout(const route& where, const attempt_history& history, time_budget time)
{
    const bool last = where.semantics == execution_semantics::at_most_once ||
                      history.possible_executions + 1 >= where.max_attempts;
    if (last || time.latency_objective <= millis{0})
    {
        return time.remaining;
    }
    // A plain answer that takes most of its objective is more likely lost than slow; a first event
    // may wait for a batch, so it gets its whole objective.
    const millis patience =
        where.streaming ? time.latency_objective : time.latency_objective * 2 / 3;
    return std::min(time.remaining, patience);
}

} // namespace endivestage
