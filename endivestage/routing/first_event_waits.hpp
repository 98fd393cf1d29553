/// \file
/// \brief How long to wait for a first event, from what first events take at present.
#pragma once

#include <endivestage/core.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace endivestage
{

/// \brief Tunables of \ref first_event_waits.
struct first_event_waits_config
{
    millis window{30000};        ///< Older observations do not count.
    std::size_t min_served = 20; ///< With fewer first events in the window, no wait is known.
    /// The wait is this multiple of the time within which 19 of 20 first events arrive. Busy and
    /// slow hosts take two to three times as long as others.
    double multiple = 3.0;
    /// An endpoint gets this multiple of the longest time that it needed itself, or that it was
    /// given in vain, so that a slow but healthy endpoint is soon given enough time.
    double own_multiple = 2.0;
    /// Vain waits for one endpoint beyond this number do not count among those of all endpoints: an
    /// endpoint that hangs must not prolong the waits for the others.
    std::size_t max_timeouts_per_endpoint = 1;
};

/// \brief Observed times of first events, by service and route.
///
/// Waits that ended in vain count as times of their length. Without them, only the fast answers
/// would be seen when all endpoints get slow, and every attempt would be given up.
///
/// Not thread-safe. The times passed in must not decrease.
class first_event_waits
{
public:
    explicit first_event_waits(first_event_waits_config config = {}) : config_(config) {}

    /// \brief Records a first event, or the head of a plain answer.
    /// \param key Key of service and route, as attempt_conditions::model.
    /// \param endpoint Hash of the endpoint's id.
    /// \param took Time since the request was sent.
    void record_first_event(std::uint64_t key, std::uint64_t endpoint, millis took, time_point now);

    /// \brief Records that no first event arrived within \p waited.
    void record_timeout(std::uint64_t key, std::uint64_t endpoint, millis waited, time_point now);

    /// \returns The time after which a first event of the endpoint is so late that it is more
    /// likely lost; nothing with too few observations.
    std::optional<millis> wait(std::uint64_t key, std::uint64_t endpoint, time_point now) const;

private:
    struct observation
    {
        std::uint64_t endpoint = 0;
        std::int64_t ms = 0;
        time_point at{-1000000};
        bool timed_out = false;
    };

    /// The last observations of a route at a service; enough for the rarest twentieth.
    struct history
    {
        static constexpr std::size_t capacity = 64;
        std::array<observation, capacity> latest;
        std::size_t recorded = 0; ///< Observations since the start.
    };

    void record(std::uint64_t key, const observation& observed);

    first_event_waits_config config_;
    std::unordered_map<std::uint64_t, history> histories_;
};

} // namespace endivestage
