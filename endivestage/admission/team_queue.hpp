/// \file
/// \brief Queue of waiting permit requests, fair between teams.
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
    std::size_t max_waiting = 1024; ///< Maximum number of requests that wait at one engine.
    /// Share of each team, at least 1. A team that is absent has 1.
    std::map<team_id, std::uint32_t> weights{};
};

/// \brief A permit request that waits at the engine's owner.
struct waiting_request
{
    queue_ticket ticket;
    permit_request request;
    std::uint32_t renewal = 0; ///< Number of the last renewal received; 0 for none.
    time_point renewed_at;     ///< Time at which that renewal, or else the request, was received.
};

/// \brief Serves waiting requests by priority, then by deficit round robin over the teams.
///
/// When a request joins the queue and n requests of its own team and priority wait already, at most
/// ceil((n + 1) / w) x W requests of other teams and the same priority are served before it. w is
/// the weight of its team and W the sum of the weights of the other teams that wait. State is kept
/// only for teams with waiting requests.
class team_queue
{
public:
    explicit team_queue(const queue_config& config) : config_(config) {}

    /// \brief Adds a request at the end of its team's queue.
    /// \returns The ticket of the request, or overloaded when max_waiting requests wait already.
    result<queue_ticket> push(const permit_request& request, time_point now);

    /// \brief Records a renewal of a waiting request.
    /// \returns False when the request no longer waits.
    bool renew(queue_ticket ticket, std::uint32_t renewal, time_point now);

    /// \brief Removes the next request to serve.
    /// \returns The request, or nothing when none waits.
    std::optional<waiting_request> pop();

    /// \brief Removes a request that its entry router cancelled.
    /// \returns False when the request no longer waits.
    bool cancel(queue_ticket ticket);

    /// \brief Removes all waiting requests for which \p predicate returns true.
    /// \returns The removed requests, in no particular order.
    std::vector<waiting_request>
    remove_if(const std::function<bool(const waiting_request&)>& predicate);

    /// \returns Number of requests that would be served before a new one of this team and priority.
    std::size_t requests_ahead(const team_id& team, std::uint8_t priority) const;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

    /// \returns Number of teams with waiting requests, counted once per priority.
    std::size_t active_teams() const;

private:
    struct team_backlog
    {
        team_id team;
        std::uint32_t deficit = 0;
        std::deque<waiting_request> requests;
    };
    // Active list of one priority. The front team is served until its deficit is used up; a team
    // without waiting requests is removed.
    using ring = std::deque<team_backlog>;

    std::uint32_t weight(const team_id& team) const;
    std::size_t requests_ahead_in(const ring& teams, const team_id& team) const;
    static team_backlog& backlog_of(ring& teams, const team_id& team);
    waiting_request pop_from(ring& teams);

    queue_config config_;
    std::map<std::uint8_t, ring, std::greater<>> priority_levels_;
    std::uint64_t last_ticket_ = 0;
    std::size_t size_ = 0;
};

} // namespace endivestage
