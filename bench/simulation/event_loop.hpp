/// \file
/// \brief Event loop with stepped time for the measurement programs.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace simulation
{

/// \brief Microseconds of simulated time.
using micros = std::int64_t;

inline constexpr micros one_ms = 1000;
inline constexpr micros one_s = 1000 * one_ms;

/// \brief Runs callbacks in order of time, then of submission.
class event_loop
{
public:
    micros now() const { return now_; }

    /// \returns The present time in the unit of the library.
    endivestage::time_point time() const { return {now_ / one_ms}; }

    void after(micros delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++submitted_, std::move(action)});
    }

    /// \brief Runs all events before \p end.
    void run_until(micros end)
    {
        while (!events_.empty() && events_.top().at < end)
        {
            event next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.at;
            next.action();
        }
        now_ = end;
    }

private:
    struct event
    {
        micros at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    micros now_ = 0;
    std::uint64_t submitted_ = 0;
    std::priority_queue<event> events_;
};

} // namespace simulation
