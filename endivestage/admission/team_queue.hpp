/// \file
/// \brief Order of waiting permit requests.
#pragma once

#include <endivestage/admission/permit.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endivestage
{

/// \brief Parameters of team_queue.
struct queue_config
{
    std::size_t max_waiting = 1024;             ///< Requests waiting at one engine.
    std::map<team_id, std::uint32_t> weights{}; ///< Shares; at least 1. Absent teams have 1.
};

/// \brief A request that waits at an owner.
struct waiting_request
{
    queue_ticket ticket;
    permit_request request;
    std::uint32_t renewal = 0; ///< Last renewal received.
    time_point renewed_at;     ///< When it, or the request, was received.
};

/// \brief Orders waiting requests by priority, then by deficit round robin over teams.
///
/// A request that finds n requests of its own team and priority waiting is served after at most
/// ceil((n + 1) / w) x W others of its priority, where w is its team's weight and W the sum of the
/// weights of the other active teams. State exists only for teams with waiting requests.
class team_queue
{
public:
    explicit team_queue(const queue_config& config) : config_(config) {}

    /// \brief Adds a request at the end of its team's queue.
    /// \returns The ticket, or overloaded when max_waiting requests wait.
    result<queue_ticket> push(const permit_request& request, time_point now);

    /// \brief Records a renewal of a waiting request.
    /// \returns False when it no longer waits.
    bool renew(queue_ticket ticket, std::uint32_t renewal, time_point now);

    /// \returns The next request to serve, removed; empty when none waits.
    std::optional<waiting_request> pop();

    /// \brief Removes a request whose entry router no longer wants it.
    /// \returns False when it no longer waits.
    bool cancel(queue_ticket ticket);

    /// \brief Removes all waiting requests for which \p unwanted holds, in no particular order.
    std::vector<waiting_request>
    remove_if(const std::function<bool(const waiting_request&)>& unwanted);

    /// \returns Requests that would be served before a new one of this team and priority.
    std::size_t requests_ahead(const team_id& team, std::uint8_t priority) const;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

    /// \returns Teams with waiting requests, counted once per priority.
    std::size_t active_teams() const;

private:
    struct team_line
    {
        team_id team;
        std::uint32_t deficit = 0;
        std::deque<waiting_request> requests;
    };
    // The front team is in its turn; a team whose line empties leaves the ring.
    using ring = std::deque<team_line>;

    std::uint32_t weight(const team_id& team) const;
    std::size_t ahead_in(const ring& teams, const team_id& team) const;
    static team_line& line_of(ring& teams, const team_id& team);
    waiting_request pop_from(ring& teams);

    queue_config config_;
    std::map<std::uint8_t, ring, std::greater<>> levels_;
    std::uint64_t last_ticket_ = 0;
    std::size_t size_ = 0;
};

} // namespace endivestage
