/// \file
/// \brief One router's shares of limits that hold over all routers.
///
/// The routers do not exchange counts for these limits. Each keeps to a static share, so that the
/// fleet's limits also hold while routers cannot reach each other.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <deque>
#include <map>

namespace endivestage
{

/// \brief Counts events in a sliding window that is divided into slots of equal length.
class sliding_window_counter
{
public:
    /// \param slots Resolution: the count covers at least the window and at most one slot more.
    explicit sliding_window_counter(millis window, std::int64_t slots = 20);

    /// \brief Counts one event.
    void add(time_point now);

    /// \returns Number of events in the window that ends at \p now.
    std::uint64_t total(time_point now);

private:
    struct slot
    {
        std::int64_t number = 0; ///< Time since the epoch divided by the slot length.
        std::uint64_t count = 0;
    };

    void expire(time_point now);

    millis slot_length_;
    std::int64_t slots_;
    std::deque<slot> entries_;
    std::uint64_t total_ = 0;
};

/// \brief The fleet's limit on retries (repeated sends) to one service.
struct repeat_limit
{
    double ratio = 0.2;          ///< Repeats allowed per first send.
    millis window{10000};        ///< The limit holds in every time span of this length.
    std::uint32_t allowance = 0; ///< Repeats allowed in addition, over all routers.
};

/// \brief One router's share of a service's \ref repeat_limit.
///
/// The ratio applies to the router's own first sends; the allowance is divided by the number of
/// routers. A process gets none of the allowance in the first window after its start, because it
/// may have used its share before a restart.
class repeat_budget
{
public:
    repeat_budget(repeat_limit limit, time_point started);

    /// \brief Applies a changed limit. The counts are kept unless the window changes; then the
    /// budget begins anew as after a start.
    void set_limit(repeat_limit limit, time_point now);

    /// \brief Counts the first send of a request.
    void record_first_send(time_point now);

    /// \returns Whether the budget has a repeat left.
    bool has_room(time_point now, std::size_t routers);

    /// \brief Acquires one repeat from the budget.
    /// \param routers Number of routers that may be running, at least 1.
    /// \returns Whether the budget had one left.
    bool try_acquire(time_point now, std::size_t routers);

private:
    /// Part of the budget that is used. The rest is a reserve for sends whose slot has just left
    /// the window.
    static constexpr double usable_part = 0.9;

    repeat_limit limit_;
    time_point started_;
    sliding_window_counter first_sends_;
    sliding_window_counter repeats_;
};

/// \brief Limit on the requests to a cold endpoint, over all routers.
struct cold_send_limit
{
    double sustained_per_s = 0.0; ///< Rate that a cold endpoint sustains.
    double max_per_s = 0.0;       ///< Maximum number of requests in any second.
};

/// \brief One router's share of the sends to cold endpoints.
///
/// Every router gets an equal share of the sustained rate while that is at least one request per
/// second. In larger fleets every router gets one request per second while the sum over the fleet
/// stays below the maximum. In still larger fleets only a subset of the routers, chosen by
/// rendezvous hashing for each endpoint, gets one request per second each.
class cold_send_share
{
public:
    explicit cold_send_share(router_id self) : self_(std::move(self)) {}

    /// \param routers All routers that may be running, this one included.
    /// \returns Number of requests that this router may send to the endpoint in any second.
    std::uint32_t requests_per_s(const endpoint_id& endpoint, const cold_send_limit& limit,
                                 std::span<const router_id> routers) const;

    /// \brief Acquires one send.
    /// \returns Whether this router's share has one left in the current window.
    bool try_acquire(const endpoint_id& endpoint, const cold_send_limit& limit,
                     std::span<const router_id> routers, time_point now);

private:
    /// Longer than the one second of the limit, because the delay until a send reaches the endpoint
    /// varies.
    static constexpr millis window{1150};

    router_id self_;
    std::map<endpoint_id, std::deque<time_point>> sent_;
};

} // namespace endivestage
