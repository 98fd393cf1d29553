#include <endivestage/routing/endpoint_choice.hpp>

#include <algorithm>
#include <tuple>

namespace endivestage
{

namespace
{

/// Endpoints that fail by reports of other routers are avoided if they are at most one in this many
/// of their service.
constexpr std::size_t max_failing_divisor = 3;

struct candidate
{
    const endpoint_state* endpoint = nullptr;
    double load = 0.0;
    bool avoided = false;
    bool overloaded = false;
    bool without_history = false; ///< The engine is not known to have the chat's history cached.
    double score = 0.0;           ///< Higher is better.
    double first_event_ms = 0.0;  ///< Estimated time of the first event.
    /// Place by estimate: at the history, equally good in the zone, equally good, or later.
    int tier = 0;
};

enum : int
{
    tier_history,
    tier_near_in_zone,
    tier_near,
    tier_later
};

double median_failure_rate(std::span<const endpoint_state* const> endpoints)
{
    std::vector<double> rates;
    rates.reserve(endpoints.size());
    for (const endpoint_state* endpoint : endpoints)
    {
        rates.push_back(endpoint->failure_rate);
    }
    std::vector<double>::iterator middle =
        rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

double chat_score(std::uint64_t chat_hash, const endpoint_state& endpoint)
{
    return rendezvous_score(chat_hash, endpoint.hash,
                            std::max<std::uint32_t>(1, endpoint.record.slots));
}

bool contains(std::span<const endpoint_id> ids, const endpoint_id& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool reports_pace(std::span<const endpoint_state* const> endpoints)
{
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [](const endpoint_state* endpoint) { return endpoint->pace.has_value(); });
}

/// Estimates the first event at each candidate.
/// \returns Whether there are enough observations.
bool estimate_times(std::span<candidate> candidates, const endpoint_choice_input& input)
{
    for (candidate& c : candidates)
    {
        const time_estimate estimate =
            input.estimator->estimate(*c.endpoint, input.work, input.now);
        if (!estimate.known)
        {
            return false;
        }
        c.first_event_ms = static_cast<double>(estimate.first_event.count);
    }
    return true;
}

/// Assigns the tiers of the candidates below the load bound and orders those that are spread.
void assign_tiers(std::span<candidate> candidates, const endpoint_choice_input& input,
                  const endpoint_choice_config& config)
{
    std::vector<double> times;
    times.reserve(candidates.size());
    for (const candidate& c : candidates)
    {
        if (!c.avoided && !c.overloaded)
        {
            times.push_back(c.first_event_ms);
        }
    }
    if (times.empty())
    {
        return;
    }
    const double best = *std::min_element(times.begin(), times.end());
    const std::size_t multiple = std::max<std::size_t>(1, config.max_share_multiple);
    const std::size_t min_near =
        std::min(times.size(), (input.endpoints.size() + multiple - 1) / multiple);
    std::vector<double>::iterator last = times.begin() + static_cast<std::ptrdiff_t>(min_near - 1);
    std::nth_element(times.begin(), last, times.end());
    const double stay =
        best * (1.0 + config.stay_share) + static_cast<double>(config.stay_margin.count);
    const double equal =
        best * (1.0 + config.near_share) + static_cast<double>(config.near_margin.count);
    // Routers of all zones must place a chat alike, whatever small differences their estimates
    // have: each further engine would read its prompt again.
    const double near = std::max(*last, input.chat_hash ? stay : equal);
    std::size_t near_in_zone = 0;
    for (candidate& c : candidates)
    {
        const bool eligible = !c.avoided && !c.overloaded;
        const bool is_near = c.first_event_ms <= near;
        const bool own = !input.chat_hash && c.endpoint->record.zone == input.zone;
        near_in_zone += eligible && is_near && own ? 1 : 0;
        const bool holds = input.chat_hash && input.prefixes != nullptr && !c.without_history;
        c.tier = holds && c.first_event_ms <= stay ? tier_history
                 : !is_near                        ? tier_later
                 : own                             ? tier_near_in_zone
                                                   : tier_near;
    }
    const auto is_own = [&](const endpoint_state* endpoint)
    {
        return endpoint->record.zone == input.zone;
    };
    const std::size_t in_zone = static_cast<std::size_t>(
        std::count_if(input.endpoints.begin(), input.endpoints.end(), is_own));
    // All routers of the zone would send to these few otherwise.
    const bool zone_counts = near_in_zone * multiple >= in_zone;
    for (candidate& c : candidates)
    {
        if (c.tier == tier_near_in_zone && !zone_counts)
        {
            c.tier = tier_near;
        }
        if (c.tier == tier_later)
        {
            c.score = -c.first_event_ms;
        }
        else if (!input.chat_hash)
        {
            c.score = rendezvous_score(input.tie_breaker, c.endpoint->hash);
        }
    }
}

} // namespace

std::vector<const endpoint_state*> rank_endpoints(const endpoint_directory& directory,
                                                  const endpoint_choice_input& input,
                                                  const endpoint_choice_config& config)
{
    std::vector<const endpoint_state*> ranked;
    if (input.endpoints.empty())
    {
        return ranked;
    }
    const double median_rate = median_failure_rate(input.endpoints);
    std::vector<candidate> candidates;
    candidates.reserve(input.endpoints.size());
    bool by_estimate =
        input.estimator != nullptr && reports_pace(input.endpoints) &&
        input.estimator->estimate(*input.endpoints.front(), input.work, input.now).known;
    // Failures at many endpoints at once come from links or overload; the rest could not take over.
    const std::size_t failing = static_cast<std::size_t>(
        std::count_if(input.endpoints.begin(), input.endpoints.end(),
                      [&](const endpoint_state* endpoint)
                      { return directory.fails_for_fleet(*endpoint, input.now); }));
    const bool failures_count = failing * max_failing_divisor <= input.endpoints.size();
    double total = 0.0;
    for (const endpoint_state* endpoint : input.endpoints)
    {
        candidate c;
        c.endpoint = endpoint;
        // The fleet's load sums are not used for requests without a chat: these requests end long
        // before the sums arrive, and all routers would send to the one endpoint that was idle a
        // quarter of a second ago.
        c.load = input.chat_hash || by_estimate ? directory.estimated_load(*endpoint, input.now)
                                                : directory.observed_load(*endpoint, input.now);
        c.avoided = input.now < endpoint->avoid_until ||
                    (failures_count && directory.fails_for_fleet(*endpoint, input.now)) ||
                    endpoint->failure_rate > median_rate + config.failure_margin;
        total += c.load;
        const double weight = std::max<std::uint32_t>(1, endpoint->record.slots);
        c.score = input.chat_hash
                      ? chat_score(*input.chat_hash, *endpoint)
                      : -c.load / weight -
                            0.5 * rendezvous_score(input.tie_breaker, endpoint->hash) * 1e-6;
        c.without_history = input.chat_hash && input.prefixes != nullptr &&
                            !input.prefixes->holds(*input.chat_hash, endpoint->hash, input.now);
        if (!contains(input.tried, endpoint->record.id))
        {
            candidates.push_back(c);
        }
    }
    by_estimate = by_estimate && estimate_times(candidates, input);
    const double mean = total / static_cast<double>(input.endpoints.size());
    const double bound = mean * config.load_factor + config.load_slack;
    for (candidate& c : candidates)
    {
        c.overloaded = (input.chat_hash || by_estimate) && c.load + 1.0 > bound;
    }
    if (by_estimate)
    {
        assign_tiers(candidates, input, config);
        // The tiers and scores say where the history counts.
        for (candidate& c : candidates)
        {
            c.without_history = false;
        }
    }
    std::sort(
        candidates.begin(), candidates.end(),
        [](const candidate& a, const candidate& b)
        {
            return std::make_tuple(a.avoided, a.overloaded, a.tier, a.without_history, -a.score) <
                   std::make_tuple(b.avoided, b.overloaded, b.tier, b.without_history, -b.score);
        });
    ranked.reserve(candidates.size());
    for (const candidate& c : candidates)
    {
        ranked.push_back(c.endpoint);
    }
    return ranked;
}

rendezvous_pair find_rendezvous_pair(std::span<const endpoint_state* const> endpoints,
                                     std::uint64_t chat_hash)
{
    rendezvous_pair pair;
    double first_score = 0.0;
    double second_score = 0.0;
    for (const endpoint_state* endpoint : endpoints)
    {
        const double score = chat_score(chat_hash, *endpoint);
        if (pair.first == 0 || score > first_score)
        {
            pair.second = pair.first;
            second_score = first_score;
            pair.first = endpoint->hash;
            first_score = score;
        }
        else if (pair.second == 0 || score > second_score)
        {
            pair.second = endpoint->hash;
            second_score = score;
        }
    }
    return pair;
}

} // namespace endivestage
