/// \file
/// \brief Bounds how many lines each kind of event may write.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivestage
{

/// \brief A token bucket for each kind of event, with a count of what was dropped.
class event_rate_limiter
{
public:
    /// \param max_lines_per_second Lines that each kind may write in a second.
    /// \param burst Lines that each kind may write at once.
    event_rate_limiter(double max_lines_per_second, double burst)
        : per_s_(max_lines_per_second),
          burst_(burst)
    {
    }

    /// \returns Whether a line may be written; else it is counted as dropped.
    bool admit(std::string_view event, time_point now);

    /// \returns Dropped lines by kind since the last call.
    std::vector<std::pair<std::string, std::uint64_t>> take_dropped();

private:
    struct bucket
    {
        double tokens = 0.0;
        time_point filled;
        std::uint64_t dropped = 0;
    };

    double per_s_;
    double burst_;
    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace endivestage
