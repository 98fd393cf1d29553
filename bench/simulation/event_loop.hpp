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

    void schedule_after(micros delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++event_count_, std::move(action)});
    }

    /// \brief Runs all events before \p end.
    void run_until(micros end)
    {
        while (!events_.empty() && events_.top().due < end)
        {
            event next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.due;
            next.action();
        }
        now_ = end;
    }

private:
    struct event
    {
        micros due;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return due != other.due ? due > other.due : sequence > other.sequence;
        }
    };

    micros now_ = 0;
    std::uint64_t event_count_ = 0;
    std::priority_queue<event> events_;
};

} // namespace simulation
