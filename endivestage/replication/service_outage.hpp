/// \file
/// \brief Detects outages of the table service during which rows may have expired.
#pragma once

#include <endivestage/core.hpp>

#include <algorithm>
#include <optional>

namespace endivestage
{

/// \brief Tells from the calls for all tables whether rows that go now may have expired because
/// their writers could not reach the table service.
///
/// A poll whose response was lost ends long after the service is back, so the outage of a single
/// table is no measure: it ends with the first response to any call.
class service_outage
{
public:
    /// \brief Records a call that failed.
    /// \param sent When the call was sent.
    void record_failure(time_point sent)
    {
        first_failed_call_ = std::min(first_failed_call_.value_or(sent), sent);
    }

    /// \brief Records a response.
    void record_success(time_point now)
    {
        if (first_failed_call_ &&
            now - std::max(*first_failed_call_, last_success_.value_or(*first_failed_call_)) >
                min_duration)
        {
            settled_at_ = now + settling_period;
        }
        first_failed_call_.reset();
        last_success_ = now;
    }

    /// \returns Whether missing rows may still be written again.
    bool is_settling(time_point now) const { return settled_at_ && now < *settled_at_; }

private:
    /// Rows of a sound writer outlast shorter outages.
    static constexpr millis min_duration{2500};
    /// Rows that expired during an outage are written again within this time.
    static constexpr millis settling_period{2500};

    std::optional<time_point> first_failed_call_; ///< Since the last response.
    std::optional<time_point> last_success_;
    std::optional<time_point> settled_at_;
};

} // namespace endivestage
