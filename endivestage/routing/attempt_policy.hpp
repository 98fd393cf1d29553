/// \file
/// \brief What to do after a send to an endpoint ended without a deliverable answer.
#pragma once

#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/route_table.hpp>

#include <cstdint>

namespace endivestage
{

/// \brief What happened to one request so far.
struct attempt_history
{
    std::uint32_t sends = 0;               ///< Requests that may have reached an endpoint.
    std::uint32_t possible_executions = 0; ///< Sends without proof that they were not executed.
    std::uint32_t connect_failures = 0;
    bool response_started = false; ///< The caller has received part of an answer.
};

/// \brief Time that a request has left.
struct time_budget
{
    millis remaining{0}; ///< Until the earlier of the caller's deadline and the route's timeout.
    millis latency_objective{0}; ///< Of the route.
};

/// \brief The next step for a request.
enum class next_step
{
    try_another, ///< Send to another endpoint; takes from the repeat budget if it was sent before.
    refuse,      ///< Answer that it was not executed; the caller may come back.
    deliver,     ///< Pass the endpoint's own failure on.
    fail,        ///< Answer that the outcome is unknown or the request failed.
};

/// \returns The snake_case name of a step.
std::string_view to_string(next_step step);

/// \brief Decides after an attempt. Keeps the promise "not executed": refuse is chosen
/// only when no endpoint can have executed the request.
///
/// A request that may be executed once is never sent again without proof that the earlier send was
/// not executed.
/// \param outcome How the latest attempt ended; not served.
/// \param history Including the latest attempt.
next_step decide_next_step(const route& where, endpoint_outcome outcome,
                           const attempt_history& history, time_budget time);

/// \returns How long to wait for the head of an answer, or the first event, before another
/// endpoint is tried; the whole time left when the request cannot be tried again.
millis first_response_timeout(const route& where, const attempt_history& history, time_budget time);

} // namespace endivestage
