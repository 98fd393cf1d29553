/// \file
/// \brief Order in which requests that wait for room at a service go on.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace endivestage
{

/// \brief A request that may have to wait for room at its service.
struct pending_request
{
    std::uint64_t number = 0; ///< Distinguishes the open requests of one router.
    std::string route;
    team_id team;                ///< Empty on anonymous routes.
    std::uint32_t priority = 0;  ///< 0 is the most urgent.
    bool repeatable = true;      ///< May be sent again after it may have run.
    bool resumed = false;        ///< Continues a stream of which a part was delivered.
    bool in_turn = false;        ///< Its chat has its turn, see has_turn.
    double work = 1.0;           ///< Relative to the service's mean request.
    time_point received;         ///< When its first byte arrived.
    millis objective{0};         ///< Time from then for the answer or the first event; 0 for none.
    time_point deadline;         ///< When the complete answer is due.
    millis expected_response{0}; ///< Estimated time to the first event or answer; 0 when unknown.
    millis expected_completion{0}; ///< Estimated time to the last byte; 0 when unknown.
};

/// \returns Whether a chat has its turn. Turns follow from the hash and the wall clock, so that all
/// routers prefer the same chats at a time, and each chat has one turn in 8 s.
bool has_turn(std::uint64_t chat_hash, time_point wall);

/// \brief What an order may use apart from the request itself.
struct order_context
{
    time_point now;
    double team_excess = 1.0; ///< Admitted work of the team relative to its fair share; at least 1.
};

/// \brief Ranks waiting requests.
class waiting_order
{
public:
    virtual ~waiting_order() = default;

    /// \returns The rank of a request; the highest rank goes on first.
    virtual double rank(const pending_request& request, const order_context& context) const = 0;

protected:
    waiting_order() = default;
    waiting_order(const waiting_order&) = default;
    waiting_order& operator=(const waiting_order&) = default;
};

/// \brief Ranks requests by what a moment of waiting costs their callers per unit of work.
class delay_cost_order final : public waiting_order
{
public:
    double rank(const pending_request& request, const order_context& context) const override;
};

} // namespace endivestage
