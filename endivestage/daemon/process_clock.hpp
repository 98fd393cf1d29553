/// \file
/// \brief The clocks of this process.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <ctime>

namespace endivestage::daemon
{

/// \brief Monotonic and wall time of the operating system.
class process_clock final : public clock
{
public:
    // CLOCK_BOOTTIME goes on while the machine is suspended, so that a confirmation cannot outlive
    // a suspension.
    time_point now() const override { return read(CLOCK_BOOTTIME); }
    time_point wall_now() const override { return read(CLOCK_REALTIME); }

private:
    static time_point read(clockid_t source)
    {
        timespec t{};
        clock_gettime(source, &t);
        return {static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1000000};
    }
};

} // namespace endivestage::daemon
