/// \file
/// \brief Permits and the messages with which they are requested, issued and returned.
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
    std::uint64_t sequence = 0; ///< Number of the permit within that owner and view.

    auto operator<=>(const permit_key&) const = default;
};

/// \brief Asks the owner of an engine for a permit to run one request on it.
struct permit_request
{
    router_id holder; ///< Entry router that will hold the permit.
    request_id request;
    team_id team;
    std::uint8_t priority = 0; ///< Higher values are served first.
    chat_id chat;
    std::uint32_t history_tokens = 0;
    time_point deadline;       ///< On the owner's clock.
    bool wait_allowed = false; ///< False: the request is refused instead of queued.
    /// True: the holder uses a permit whose load is above its limit only after it has compared the
    /// load with the present loads of the whole pool, see placement_attempt.
    bool checks_bound = false;
};

/// \brief Permission to run one request on one engine.
struct permit
{
    permit_key key;
    /// Time within which the permit must be used. It starts when the holder sent the renewal with
    /// the number below, or the permit request when that number is 0.
    millis time_to_use = permit_time_to_use;
    std::uint32_t renewal = 0;       ///< Last renewal that the owner received; 0 for none.
    std::uint32_t load = 0;          ///< Load of the engine, this permit included.
    std::uint32_t limit = 1;         ///< Load up to which no check of the holder is needed.
    std::uint32_t cached_tokens = 0; ///< Estimated tokens of the chat in the engine's cache.
};

/// \brief An outstanding permit, as recorded by its holder and by the engine's owner.
struct held_permit
{
    permit_key key;
    router_id holder;
    request_id request;
    chat_id chat;
};

/// \brief Identifies a waiting request in the owner's queue; unique per engine_gate.
struct queue_ticket
{
    std::uint64_t number = 0;

    auto operator<=>(const queue_ticket&) const = default;
};

/// \brief Answer to permit_request: a permit, a ticket of the queue, or the reason of a refusal.
///
/// A refused request was not run. Reasons: overloaded, deadline_exceeded, endpoint_leaving,
/// zone_out_of_service, endpoint_unavailable, unconfirmed_view, not_owner.
using permit_answer = std::variant<permit, queue_ticket, std::error_code>;

/// \brief How the request that held a permit ended.
struct permit_outcome
{
    enum class kind
    {
        completed, ///< The engine finished the request.
        failed,    ///< The request was sent and did not finish.
        unused,    ///< The request was never sent.
    };

    kind status = kind::unused;
    std::optional<millis> first_token; ///< Time from send to first token, when one arrived.
    std::uint32_t tokens = 0;          ///< Tokens of the chat after the request, answer included.
};

/// \brief Decision on a request that waited: a permit or the reason of its refusal.
struct queue_decision
{
    queue_ticket ticket;
    permit_request request;
    std::variant<permit, std::error_code> answer;
};

} // namespace endivestage
