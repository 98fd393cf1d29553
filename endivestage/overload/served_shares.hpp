/// \file
/// \brief How often kinds of requests and teams were served lately, and with how much work.
#pragma once

#include <endivestage/overload/waiting_order.hpp>

#include <map>
#include <string>

namespace endivestage
{

/// \brief A sum whose parts lose their weight exponentially with their age.
class decaying_sum
{
public:
    explicit decaying_sum(millis time_constant) : time_constant_(time_constant) {}

    void add(double value, time_point now);
    double read(time_point now) const;

private:
    millis time_constant_;
    double sum_ = 0.0;
    time_point at_;
};

/// \brief Tunables of \ref served_shares.
struct served_shares_config
{
    millis memory{5000};      ///< Time constant with which counts decay.
    double min_offered = 6.0; ///< With fewer requests a floor does not apply.
    double kind_floor = 0.33; ///< Least served ratio of a kind or team, relative to all requests.
    double size_floor = 0.67; ///< Least served ratio of large requests, relative to their kind.
    double large_quantile =
        0.8; ///< Requests with more work than this part of their kind are large.
};

/// \brief Served ratios and shares of work while a service is contended.
class served_shares
{
public:
    explicit served_shares(served_shares_config config = {});

    void record_offered(const pending_request& request, time_point now);
    void record_served(const pending_request& request, time_point now);

    /// \returns Whether the request's kind, its team or the large requests of its kind are served
    /// so rarely that the request precedes all others.
    bool is_below_floor(const pending_request& request, time_point now) const;

    /// \returns The team's part of the admitted work relative to an equal part; at least 1.
    double team_excess(const team_id& team, time_point now) const;

private:
    struct counts
    {
        explicit counts(millis memory) : offered(memory), served(memory), work(memory) {}

        decaying_sum offered;
        decaying_sum served;
        decaying_sum work; ///< Of served requests.
    };
    struct kind_counts
    {
        explicit kind_counts(millis memory) : all(memory), large(memory) {}

        counts all;
        counts large;
        double large_work = 1.0; ///< Estimated quantile of the kind's work.
    };

    bool is_large(const kind_counts& kind, const pending_request& request) const;
    bool is_rare(const counts& some, const counts& all, double floor, time_point now) const;

    served_shares_config config_;
    counts all_;
    std::map<std::string, kind_counts> kinds_; ///< By route.
    std::map<team_id, counts> teams_;
};

} // namespace endivestage
