#include <endivestage/routing/endpoint_choice.hpp>

#include <algorithm>
#include <tuple>

namespace endivestage
{

namespace
{

struct candidate
{
    const endpoint_state* endpoint = nullptr;
    double load = 0.0;
    bool avoided = false;
    bool overloaded = false;
    bool without_history = false; ///< The engine is not known to have the chat's history cached.
    double score = 0.0;           ///< Higher is better.
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
    double total = 0.0;
    for (const endpoint_state* endpoint : input.endpoints)
    {
        candidate c;
        c.endpoint = endpoint;
        // The fleet's load sums are not used for requests without a chat: these requests end long
        // before the sums arrive, and all routers would send to the one endpoint that was idle a
        // quarter of a second ago.
        c.load = input.chat_hash ? directory.estimated_load(*endpoint, input.now)
                                 : directory.observed_load(*endpoint, input.now);
        c.avoided = input.now < endpoint->avoid_until ||
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
    const double mean = total / static_cast<double>(input.endpoints.size());
    const double bound = mean * config.load_factor + config.load_slack;
    for (candidate& c : candidates)
    {
        c.overloaded = input.chat_hash && c.load + 1.0 > bound;
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b)
              {
                  return std::make_tuple(a.avoided, a.overloaded, a.without_history, -a.score) <
                         std::make_tuple(b.avoided, b.overloaded, b.without_history, -b.score);
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
