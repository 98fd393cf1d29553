/// \file
/// \brief A router's share of limits that hold over all routers.
///
/// The routers do not exchange counts for these limits: each keeps to a static share, so the sum
/// holds also while routers cannot reach each other.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <deque>
#include <map>

namespace endivestage
{

/// \brief Counts events in a sliding window, in slots of a fixed length.
class sliding_window_counter
{
public:
    /// \param window Length of the window.
    /// \param slots Resolution; the count covers between window and window + one slot.
    explicit sliding_window_counter(millis window, std::int64_t slots = 20);

    void add(time_point now);
    std::uint64_t total(time_point now);

private:
    struct slot
    {
        std::int64_t number = 0;
        std::uint64_t count = 0;
    };

    void expire(time_point now);

    millis slot_length_;
    std::int64_t slots_;
    std::deque<slot> entries_;
    std::uint64_t total_ = 0;
};

/// \brief The fleet's limit on repeated sends to one service.
struct repeat_limit
{
    double ratio = 0.2;          ///< Repeats allowed per first send.
    millis window{10000};        ///< Any span of this length counts.
    std::uint32_t allowance = 0; ///< Repeats allowed besides, over all routers.
};

/// \brief One router's part of a service's \ref repeat_limit.
///
/// The ratio applies to the router's own first sends; the allowance is divided by the number of
/// routers. A process that has just started may have spent its part before, so it gets none of the
/// allowance for one window.
class repeat_budget
{
public:
    repeat_budget(repeat_limit limit, time_point started);

    void record_first_send(time_point now);

    /// \brief Takes one repeat if the budget has one left.
    /// \param routers Routers that may be running, at least 1.
    bool try_acquire(time_point now, std::size_t routers);

private:
    /// Keeps a tenth in reserve for sends whose slot has just left the window.
    static constexpr double safety = 0.9;

    repeat_limit limit_;
    time_point started_;
    sliding_window_counter first_;
    sliding_window_counter repeats_;
};

/// \brief What a cold endpoint bears in any second, over all routers.
struct cold_send_limit
{
    double sustained_per_s = 0.0; ///< Rate that a cold endpoint survives.
    double max_per_s = 0.0;
};

/// \brief One router's part of the sends to cold endpoints.
///
/// While a part of the sustained rate is at least one request a second, each router has it. In
/// larger fleets a subset of the routers, drawn by rendezvous hashing for each endpoint, has one
/// request a second each.
class cold_send_share
{
public:
    explicit cold_send_share(router_id self) : self_(std::move(self)) {}

    /// \returns Requests that this router may send in any second.
    /// \param routers Every router that may be running, this one included.
    std::uint32_t requests_per_s(const endpoint_id& endpoint, const cold_send_limit& limit,
                                 std::span<const router_id> routers) const;

    /// \brief Takes one send if the share of the last second has one left.
    bool try_acquire(const endpoint_id& endpoint, const cold_send_limit& limit,
                     std::span<const router_id> routers, time_point now);

private:
    /// Longer than the second that counts, since sends reach the endpoint with varying delay.
    static constexpr millis window{1150};

    router_id self_;
    std::map<endpoint_id, std::deque<time_point>> sent_;
};

} // namespace endivestage
