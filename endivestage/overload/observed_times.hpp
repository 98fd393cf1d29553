/// \file
/// \brief Estimates of request times from what the router observed by route.
#pragma once

#include <endivestage/routing/time_estimate.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace endivestage
{

/// \brief Tunables of \ref observed_times.
struct observed_times_config
{
    std::uint32_t min_observations = 8; ///< With fewer, an estimate counts as unknown.
    millis max_age{10000};              ///< Without an observation for this long, likewise.
    double weight = 0.05;               ///< Weight of a new observation in the moving average.
};

/// \brief Estimates the times of a request as those observed for its route, scaled by the prompt
/// tokens to be read. Endpoints are not told apart.
class observed_times final : public time_estimator
{
public:
    explicit observed_times(observed_times_config config = {}) : config_(config) {}

    /// \brief Records a request that was served.
    /// \param first_event Time from its send to its first event; equals \p completion if plain.
    /// \param completion Time from its send to its end.
    void record(const request_work& work, millis first_event, millis completion, time_point now);

    time_estimate estimate(const endpoint_state& endpoint, const request_work& work,
                           time_point now) const override;

private:
    struct route_times
    {
        std::uint32_t observations = 0;
        double first_event = 0.0;   ///< Moving average in ms.
        double completion = 0.0;    ///< Moving average in ms.
        double prompt_tokens = 0.0; ///< Moving average of tokens that were read.
        time_point observed_at;
    };

    observed_times_config config_;
    std::map<std::string, route_times, std::less<>> routes_;
};

} // namespace endivestage
