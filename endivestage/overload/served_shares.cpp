#include <endivestage/overload/served_shares.hpp>

#include <algorithm>
#include <cmath>

namespace endivestage
{

namespace
{

/// Relative step with which the estimate of a quantile follows the observed work.
constexpr double quantile_step = 0.1;
/// A team with less than this part of a request in memory does not count as active.
constexpr double min_active = 0.5;

} // namespace

void decaying_sum::add(double value, time_point now)
{
    sum_ = read(now) + value;
    at_ = now;
}

double decaying_sum::read(time_point now) const
{
    const double age = static_cast<double>((now - at_).count);
    return sum_ * std::exp(-age / static_cast<double>(time_constant_.count));
}

served_shares::served_shares(served_shares_config config) : config_(config), all_(config.memory) {}

bool served_shares::is_large(const kind_counts& kind, const pending_request& request) const
{
    return request.work > kind.large_work;
}

void served_shares::record_offered(const pending_request& request, time_point now)
{
    all_.offered.add(1.0, now);
    teams_.try_emplace(request.team, config_.memory).first->second.offered.add(1.0, now);
    kind_counts& kind = kinds_.try_emplace(request.route, config_.memory).first->second;
    kind.all.offered.add(1.0, now);
    if (is_large(kind, request))
    {
        kind.large.offered.add(1.0, now);
        kind.large_work *= 1.0 + quantile_step * config_.large_quantile;
    }
    else
    {
        kind.large_work *= 1.0 - quantile_step * (1.0 - config_.large_quantile);
    }
}

void served_shares::record_served(const pending_request& request, time_point now)
{
    all_.served.add(1.0, now);
    all_.work.add(request.work, now);
    counts& team = teams_.try_emplace(request.team, config_.memory).first->second;
    team.served.add(1.0, now);
    team.work.add(request.work, now);
    kind_counts& kind = kinds_.try_emplace(request.route, config_.memory).first->second;
    kind.all.served.add(1.0, now);
    if (is_large(kind, request))
    {
        kind.large.served.add(1.0, now);
    }
}

bool served_shares::is_rare(const counts& some, const counts& all, double floor,
                            time_point now) const
{
    const double offered = some.offered.read(now);
    return offered >= config_.min_offered &&
           some.served.read(now) * all.offered.read(now) < floor * all.served.read(now) * offered;
}

bool served_shares::is_below_floor(const pending_request& request, time_point now) const
{
    const auto kind = kinds_.find(request.route);
    const auto team = teams_.find(request.team);
    return (kind != kinds_.end() &&
            (is_rare(kind->second.all, all_, config_.kind_floor, now) ||
             (is_large(kind->second, request) &&
              is_rare(kind->second.large, kind->second.all, config_.size_floor, now)))) ||
           (team != teams_.end() && is_rare(team->second, all_, config_.kind_floor, now));
}

double served_shares::team_excess(const team_id& team, time_point now) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || all_.served.read(now) < config_.min_offered)
    {
        return 1.0;
    }
    const std::ptrdiff_t active =
        std::count_if(teams_.begin(), teams_.end(),
                      [&](const std::pair<const team_id, counts>& other)
                      { return other.second.offered.read(now) >= min_active; });
    const double share = found->second.work.read(now) / all_.work.read(now);
    return std::max(1.0, share * static_cast<double>(active));
}

} // namespace endivestage
