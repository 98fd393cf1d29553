/// \file
/// \brief Limits how many log lines each kind of event may write.
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

/// \brief One token bucket for each kind of event, with a count of the dropped lines.
class event_rate_limiter
{
public:
    /// \param max_lines_per_second Sustained rate of lines of each kind.
    /// \param burst Number of lines of each kind that may be written at once.
    event_rate_limiter(double max_lines_per_second, double burst)
        : max_lines_per_second_(max_lines_per_second),
          burst_(burst)
    {
    }

    /// \returns Whether a line may be written. If not, it is counted as dropped.
    bool admit(std::string_view event, time_point now);

    /// \returns Number of dropped lines by kind since the last call.
    std::vector<std::pair<std::string, std::uint64_t>> take_dropped();

private:
    struct bucket
    {
        double tokens = 0.0;
        time_point refilled_at;
        std::uint64_t dropped = 0;
    };

    double max_lines_per_second_;
    double burst_;
    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace endivestage
