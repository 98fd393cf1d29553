/// \file
/// \brief Retry policy: the next step after a send to an endpoint ended without a complete answer.
#pragma once

#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/route_table.hpp>

#include <cstdint>

namespace endivestage
{

/// \brief Counters of one request over all its attempts.
struct attempt_history
{
    std::uint32_t sends = 0;               ///< Sends that may have reached an endpoint.
    std::uint32_t possible_executions = 0; ///< Sends without proof that they were not executed.
    std::uint32_t connect_failures = 0;
    bool response_started = false; ///< The caller has received part of an answer.
};

/// \brief Time limits of a request.
struct time_budget
{
    millis remaining{0}; ///< Until the earlier of the caller's deadline and the route's timeout.
    millis latency_objective{0}; ///< \ref route::latency_objective of the request's route.
};

/// \brief The next step for a request.
enum class next_step
{
    try_another, ///< Send to another endpoint; costs a repeat if the request was sent before.
    refuse,      ///< Answer that the request was not executed, so the caller may retry it.
    deliver,     ///< Forward the failure that the endpoint answered with.
    fail,        ///< Answer that the request failed or that its outcome is unknown.
};

/// \returns The snake_case name of a step.
std::string_view to_string(next_step step);

/// \brief Decides the next step after an attempt that was not served.
///
/// refuse is returned only when no endpoint can have executed the request. A request of an
/// at_most_once route is sent again only with proof that no earlier send was executed.
/// \param outcome How the latest attempt ended; must not be served.
/// \param history Includes the latest attempt.
next_step decide_next_step(const route& matched, endpoint_outcome outcome,
                           const attempt_history& history, time_budget time);

/// \returns How long to wait for the head of the answer, or for the first event of a stream, before
/// another endpoint is tried; all of the remaining time when the request cannot be retried.
millis first_response_timeout(const route& matched, const attempt_history& history,
                              time_budget time);

/// \brief The same from what first events take at present. Never longer than the wait above, and
/// never shorter than a quarter of the latency objective, so that callers whose objective is far
/// longer than usual answers lose no slow but healthy endpoint.
/// \param expected Time after which a first event is late (first_event_waits).
millis first_response_timeout(const route& matched, const attempt_history& history,
                              time_budget time, millis expected);

} // namespace endivestage
