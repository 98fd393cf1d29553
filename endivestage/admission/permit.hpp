/// \file
/// \brief Permits and the messages about them.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/ownership/permit_stamp.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>

namespace endivestage
{

/// \brief Identifies a permit among all permits ever issued for an engine.
struct permit_key
{
    std::uint64_t view = 0;     ///< View under which the owner issued it.
    std::uint64_t sequence = 0; ///< Issue number of that owner in that view.

    auto operator<=>(const permit_key&) const = default;
};

/// \brief A request for permission to place one request on one engine.
struct permit_request
{
    router_id holder; ///< Entry router that will hold the permit.
    request_id request;
    team_id team;
    std::uint8_t priority = 0; ///< Higher is served first.
    chat_id chat;
    std::uint32_t history_tokens = 0;
    time_point deadline;       ///< On the owner's clock.
    bool wait_allowed = false; ///< False: refuse instead of queueing.
    /// The holder uses a permit with a load above its limit only after a check against the present
    /// loads of the whole pool (placement_attempt).
    bool checks_bound = false;
};

/// \brief A permission to place one request on one engine.
struct permit
{
    permit_key key;
    millis time_to_use = permit_time_to_use;
    std::uint32_t renewal =
        0;                   ///< Renewal from whose sending the time to use counts; 0: the request.
    std::uint32_t load = 0;  ///< Load of the engine, this permit included.
    std::uint32_t limit = 1; ///< Load up to which the engine admits without checks_bound.
    std::uint32_t cached_tokens = 0; ///< Tokens of the chat in the engine's cache, estimated.
};

/// \brief A permit as its holder or owner remembers it.
struct held_permit
{
    permit_key key;
    router_id holder;
    request_id request;
    chat_id chat;
};

/// \brief A place in the owner's queue; unique per engine_gate.
struct queue_ticket
{
    std::uint64_t number = 0;

    auto operator<=>(const queue_ticket&) const = default;
};

/// \brief Answer to permit_request: a permit, a place in the queue, or a typed refusal.
///
/// Every refusal means not_run. Codes: overloaded, deadline_exceeded, endpoint_leaving,
/// zone_out_of_service, endpoint_unavailable, unconfirmed_view, not_owner.
using permit_answer = std::variant<permit, queue_ticket, std::error_code>;

/// \brief How the request of a permit ended.
struct permit_outcome
{
    enum class kind
    {
        completed, ///< The engine finished the request.
        failed,    ///< It was sent and did not finish.
        unused,    ///< It was never sent.
    };

    kind status = kind::unused;
    std::optional<millis> first_token; ///< From send to first token, when one arrived.
    std::uint32_t tokens = 0;          ///< Tokens of the chat now, history and answer.
};

/// \brief A waiting request that was decided.
struct queue_decision
{
    queue_ticket ticket;
    permit_request request;
    std::variant<permit, std::error_code> answer;
};

} // namespace endivestage
