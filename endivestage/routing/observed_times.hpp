/// \file
/// \brief Estimates of answer times from the answers that a router has observed.
#pragma once

#include <endivestage/routing/time_estimate.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace endivestage
{

/// \brief Tunables of \ref observed_times.
struct observed_times_config
{
    /// Half of a reported deviation of the pace is believed after this time. Hosts are slow for
    /// fractions of a second, so an older report says little.
    millis pace_half_life{300};
    /// Fewer answers of a route do not tell its times.
    std::uint32_t min_observations = 20;
    /// Share by which earlier answers of a route lose weight with each new one: the last 200 count.
    double forgetting = 0.005;
    /// Assumed ratio of a cold endpoint's times to a warm one's until it is observed.
    double initial_cold_factor = 2.0;
    double max_cold_factor = 10.0;
    /// Weight of the latest answer of a cold endpoint.
    double cold_weight = 0.05;
};

/// \brief What determines a request's times at an endpoint, as known when the request is sent.
struct attempt_conditions
{
    std::uint64_t model = 0;      ///< Key of the endpoint's service with the request's route.
    double uncached_tokens = 0.0; ///< Tokens of the prompt that the endpoint has to read.
    double slot_share = 0.0;      ///< Share of the slots that other requests occupy, at most 1.
    double queue_ahead = 0.0;     ///< Requests that must end before this one starts, per slot.
    std::uint32_t output_tokens = 0;
    bool cold = false;
};

/// \brief Estimates times from earlier answers of the same route and service.
///
/// The time of a first event at the usual pace is a linear function of the tokens to read and of
/// the share of occupied slots, fitted to recent answers with least squares. Waiting for a slot,
/// the pace of the endpoint's host and the cold state are applied on top.
///
/// Not thread-safe. No allocation per estimate.
class observed_times final : public time_estimator
{
public:
    /// \param endpoints,prefixes Must outlive this object.
    observed_times(const endpoint_directory& endpoints, const prefix_directory& prefixes,
                   observed_times_config config = {})
        : endpoints_(endpoints),
          prefixes_(prefixes),
          config_(config)
    {
    }

    time_estimate estimate(const endpoint_state& endpoint, const request_work& work,
                           time_point now) const override;

    /// \returns The conditions of a request that is about to be sent and not yet counted as open.
    attempt_conditions conditions(const endpoint_state& endpoint, const request_work& work,
                                  time_point now) const;

    /// \brief Records the first event of a stream, or the head of a plain answer.
    /// \param pace \ref pace of the endpoint when it answered.
    /// \param took Time since the request was sent.
    void record_first_event(const attempt_conditions& sent, double pace, millis took);

    /// \brief Records the end of a complete answer.
    /// \param since_first Time since the first event.
    void record_completion(const attempt_conditions& sent, double pace, millis since_first);

    /// \returns The expected time that work takes at the endpoint relative to the usual time: the
    /// reported pace weighted by its age.
    double pace(const endpoint_state& endpoint, time_point now) const;

private:
    static constexpr std::size_t terms = 3; ///< A constant, tokens and occupied slots.
    using vector = std::array<double, terms>;

    /// Times of one route at one service, at the usual pace.
    struct model
    {
        std::uint32_t observations = 0;
        std::array<vector, terms> products{}; ///< Sums of the products of the terms.
        vector moments{};                     ///< Sums of the products of terms and times.
        vector coefficients{};                ///< In ms.
        double tail_ms = 0.0;                 ///< Mean time from the first event to the end.
        double tail_tokens = 0.0;             ///< Mean bound of the output in tokens.
        bool has_tail = false;
        double cold_factor = 0.0; ///< 0 until a cold endpoint was observed.
    };

    static vector terms_of(const attempt_conditions& sent);
    void fit(model& m) const;
    double base_ms(const model& m, const attempt_conditions& sent) const;
    double holding_ms(const model& m) const;
    double tail_ms(const model& m, std::uint32_t output_tokens) const;
    double cold_factor(const model& m) const;

    const endpoint_directory& endpoints_;
    const prefix_directory& prefixes_;
    observed_times_config config_;
    std::unordered_map<std::uint64_t, model> models_;
};

} // namespace endivestage
