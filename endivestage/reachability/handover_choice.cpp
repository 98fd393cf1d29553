#include <endivestage/reachability/handover_choice.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace endivestage
{

namespace
{

constexpr double min_weight = 0.01;

} // namespace

std::optional<router_id> handover_choice::choose(std::span<const handover_candidate> candidates,
                                                 std::span<const router_id> tried,
                                                 random_source& random, time_point now) const
{
    struct option
    {
        const handover_candidate* candidate = nullptr;
        double load = 0.0;
    };
    std::vector<option> options;
    double least = std::numeric_limits<double>::max();
    for (const handover_candidate& candidate : candidates)
    {
        const auto it = loads_.find(candidate.id);
        const router_load load = it == loads_.end() ? router_load{} : it->second;
        const bool usable = load.open < config_.max_open_per_router && now >= load.paused_until &&
                            std::find(tried.begin(), tried.end(), candidate.id) == tried.end();
        if (usable)
        {
            // The request counts too, so that a small host is not chosen only because it is idle.
            const double relative =
                static_cast<double>(load.open + 1) / std::max(min_weight, candidate.weight);
            options.push_back({&candidate, relative});
            least = std::min(least, relative);
        }
    }
    if (options.empty())
    {
        return std::nullopt;
    }
    std::vector<const handover_candidate*> best;
    for (const bool near : {true, false})
    {
        const double most = near ? least * (1.0 + config_.near_share) : least;
        for (const option& it : options)
        {
            if (it.load <= most && (!near || it.candidate->zone == zone_))
            {
                best.push_back(it.candidate);
            }
        }
        if (!best.empty())
        {
            break;
        }
    }
    return best[random.below(best.size())]->id;
}

void handover_choice::begin(const router_id& router)
{
    ++loads_[router].open;
}

void handover_choice::end(const router_id& router)
{
    const auto it = loads_.find(router);
    if (it == loads_.end())
    {
        return;
    }
    it->second.open -= it->second.open > 0 ? 1 : 0;
}

void handover_choice::record_refusal(const router_id& router, time_point now)
{
    loads_[router].paused_until = now + config_.refusal_pause;
}

void handover_choice::record_unreachable(const router_id& router, time_point now)
{
    loads_[router].paused_until = now + config_.unreachable_pause;
}

std::size_t handover_choice::open() const
{
    std::size_t total = 0;
    for (const auto& [router, load] : loads_)
    {
        total += load.open;
    }
    return total;
}

} // namespace endivestage
