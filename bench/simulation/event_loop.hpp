/// \file
/// \brief Event loop in simulated time for the measurement programs.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace simulation
{

/// \brief Simulated time or duration in microseconds.
using micros = std::int64_t;

inline constexpr micros one_ms = 1000;
inline constexpr micros one_s = 1000 * one_ms;

/// \brief Runs callbacks by due time; callbacks due at the same time run in order of submission.
class event_loop
{
public:
    micros now() const { return now_; }

    /// \returns The current simulated time as the library's time_point, in milliseconds.
    endivestage::time_point time() const { return {now_ / one_ms}; }

    /// \brief Runs \p action once, \p delay after the current time.
    void schedule_after(micros delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++event_count_, std::move(action)});
    }

    /// \brief Runs all events that are due before \p end and sets the time to \p end.
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
