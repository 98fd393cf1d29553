/// \file
/// \brief Suspends requests until a starting router has read its tables.
#pragma once

#include <endivestage/daemon/http_types.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/router_metrics.hpp>

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \brief How the wait of a request for the tables ended.
enum class start_outcome
{
    released, ///< The tables are there.
    refused,  ///< The tables did not come in its time, or there is no room for it.
    left,     ///< Its caller has disconnected.
    stopped,  ///< The router stops.
};

std::string_view to_string(start_outcome outcome);

/// \brief The coroutines of requests that wait; \ref start_hold decides about them.
class start_gate
{
public:
    /// \brief A request that wants to wait.
    struct waiting_request
    {
        unrouted_request request;
        /// Returns its priority; called once the tables are there.
        std::function<std::uint32_t()> priority;
        /// Set while it waits; ends the wait with start_outcome::left.
        std::function<void()>* leave = nullptr;
    };

    /// \param time Must outlive the gate.
    start_gate(const clock& time, start_hold_limits limits)
        : time_(&time),
          hold_(limits, time.now())
    {
    }

    /// \brief Suspends a request until it may go on or must end.
    daemon::awaitable<start_outcome> wait(waiting_request waiting);

    /// \brief Lets all requests go on.
    void open();

    /// \brief Refuses all requests, since the router stops.
    void stop();

    /// \brief Records that the tables cannot come before \p at_earliest, and refuses requests that
    /// cannot wait that long.
    void postpone(time_point at_earliest);

    const start_hold& hold() const { return hold_; }
    /// \returns Number of waits that have ended, by outcome.
    const std::map<start_outcome, std::uint64_t>& ended() const { return ended_; }

private:
    struct waiter
    {
        boost::asio::steady_timer* timer = nullptr;
        const waiting_request* request = nullptr;
        start_outcome outcome = start_outcome::refused;
    };

    void finish(start_hold::request_number number, start_outcome outcome);

    const clock* time_;
    start_hold hold_;
    std::map<start_hold::request_number, waiter> waiters_;
    std::map<start_outcome, std::uint64_t> ended_;
};

/// \brief Sets the metrics of a gate.
void record_start_gate(const start_gate& gate, router_metrics& metrics);

} // namespace endivestage::serving
