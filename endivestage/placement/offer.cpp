#include <endivestage/placement/offer.hpp>

#include <algorithm>
#include <tuple>

namespace endivestage
{

namespace
{

double relative_load(const placement_offer& offer)
{
    return offer.load / offer.capacity;
}

bool is_better(const placement_offer& left, const placement_offer& right,
               const placement_config& config)
{
    const auto counted_tokens = [&](std::uint32_t tokens)
    {
        return tokens >= config.min_cached_tokens ? tokens : 0U;
    };
    const std::uint32_t left_cached = counted_tokens(left.cached_tokens);
    const std::uint32_t right_cached = counted_tokens(right.cached_tokens);
    if (left_cached != right_cached)
    {
        return left_cached > right_cached;
    }
    return std::tuple(relative_load(left), left.rank) <
           std::tuple(relative_load(right), right.rank);
}

} // namespace

std::optional<std::size_t> choose_offer(std::span<const placement_offer> offers,
                                        const placement_config& config)
{
    if (offers.empty())
    {
        return std::nullopt;
    }
    auto best = std::min_element(offers.begin(), offers.end(),
                                 [&](const placement_offer& left, const placement_offer& right)
                                 { return is_better(left, right, config); });
    return static_cast<std::size_t>(best - offers.begin());
}

} // namespace endivestage
