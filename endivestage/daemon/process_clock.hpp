/// \file
/// \brief The clocks of this process.
#pragma once

#include <endivestage/core.hpp>

#include <chrono>

namespace endivestage::daemon
{

/// \brief Monotonic and wall time of the operating system.
class process_clock final : public clock
{
public:
    time_point now() const override { return read<std::chrono::steady_clock>(); }
    time_point wall_now() const override { return read<std::chrono::system_clock>(); }

private:
    template <class Clock>
    static time_point read()
    {
        return {
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
                .count()};
    }
};

} // namespace endivestage::daemon
