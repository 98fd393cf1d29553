#define XXH_INLINE_ALL
#include <endivestage/core/hashing.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace endivestage
{

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

double rendezvous_score(std::uint64_t key_hash, std::uint64_t node_hash, double weight)
{
    assert(weight > 0.0);
    // Mixes the combined bits over the whole word with the finalizer of SplitMix64.
    std::uint64_t x = key_hash ^ (node_hash + 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    x ^= x >> 31U;
    const double u = (static_cast<double>(x >> 11U) + 0.5) * 0x1.0p-53;
    return -weight / std::log(u);
}

std::vector<std::size_t> rank_by_rendezvous(std::uint64_t key_hash,
                                            std::span<const weighted_node> nodes, std::size_t limit)
{
    std::vector<std::pair<double, std::size_t>> scored;
    scored.reserve(nodes.size());
    for (std::size_t n = 0; n < nodes.size(); ++n)
    {
        scored.emplace_back(-rendezvous_score(key_hash, nodes[n].hash, nodes[n].weight), n);
    }
    const std::size_t count = std::min(limit, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end());
    std::vector<std::size_t> ranked;
    ranked.reserve(count);
    for (std::size_t n = 0; n < count; ++n)
    {
        ranked.push_back(scored[n].second);
    }
    return ranked;
}

} // namespace endivestage
