/// \file
/// \brief Requests that wait until a starting router has read its tables.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endivestage
{

/// \brief Bounds of a \ref start_hold.
struct start_hold_limits
{
    std::size_t requests = 1024; ///< A waiting request takes a descriptor of its connection.
    std::size_t bytes = 8UL * 1024 * 1024; ///< Of targets, fields and bodies together.
    /// Time from the router's start to its tables, after which nothing waits any longer.
    millis longest_start{1000};
};

/// \brief A request that arrived before the tables. Its route and objective are not known yet.
struct unrouted_request
{
    std::size_t bytes = 0;
    time_point received;
    std::optional<millis> timeout; ///< Time that the caller waits for the response.
};

/// \brief Decides which requests of a starting router wait, for how long, and in which order they
/// go on.
///
/// A request that waits has at least half of its time left when it is refused, so that its caller
/// can try another router.
class start_hold
{
public:
    using request_number = std::uint64_t;

    /// \param started When the router started.
    start_hold(start_hold_limits limits, time_point started)
        : limits_(limits),
          tables_due_(started + limits.longest_start),
          tables_at_earliest_(started)
    {
    }

    /// \brief Lets a request wait.
    /// \returns Its number; nothing if it must be refused at once: there is no room, or the tables
    /// cannot come in its time.
    std::optional<request_number> add(const unrouted_request& request, time_point now);

    /// \brief Removes a request that no longer waits. Unknown numbers are ignored.
    void remove(request_number number);

    /// \returns Until when a request may wait.
    time_point latest_release(request_number number) const { return held_.at(number).until; }

    /// \brief Records that the tables cannot come before \p at_earliest.
    /// \returns Removed requests that cannot wait that long.
    std::vector<request_number> postpone(time_point at_earliest);

    /// \brief Removes all requests.
    /// \param priority Returns the priority of a request; 0 is the most urgent.
    /// \returns The requests in the order in which they go on: by priority, then by the end of the
    /// time that their callers wait, then by arrival.
    std::vector<request_number>
    release(const std::function<std::uint32_t(request_number)>& priority);

    /// \returns When the caller of a refused request may come back: at most a third of its time
    /// left, and spread so that callers who were refused together do not return together.
    /// \param spread Any number; different ones give different times.
    millis retry_after(const unrouted_request& request, std::uint64_t spread, time_point now) const;

    std::size_t size() const { return held_.size(); }
    std::size_t bytes() const { return bytes_; }
    const start_hold_limits& limits() const { return limits_; }

private:
    struct held_request
    {
        std::size_t bytes = 0;
        time_point until;                   ///< Refused then.
        std::optional<time_point> deadline; ///< End of the caller's wait.
    };

    time_point give_up_time(const unrouted_request& request) const;

    start_hold_limits limits_;
    time_point tables_due_;
    time_point tables_at_earliest_;
    std::map<request_number, held_request> held_;
    std::size_t bytes_ = 0;
    request_number last_number_ = 0;
};

} // namespace endivestage
