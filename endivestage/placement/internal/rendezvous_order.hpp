/// \file
/// \brief Order of nodes of equal weight under rendezvous_score, without its logarithm.
#pragma once

#include <cstdint>

namespace endivestage::internal
{

/// \returns A number that orders nodes of equal weight for a key as rendezvous_score does.
///
/// The score is monotone in these 53 bits. Ranking 600 engines by score costs 600 logarithms, more
/// than the 5 us that a placement decision may take. A test compares the two orders.
inline std::uint64_t rendezvous_order(std::uint64_t key_hash, std::uint64_t node_hash)
{
    std::uint64_t x = key_hash ^ (node_hash + 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    x ^= x >> 31U;
    return x >> 11U;
}

} // namespace endivestage::internal
