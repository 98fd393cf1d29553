/// \file
/// \brief Parameters of placement, kept together so that measurements can vary them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace endivestage
{

/// \brief Parameters of the choice of an engine for a chat.
struct placement_policy
{
    std::size_t first_asked = 3;         ///< Candidates asked in the first round (k).
    std::size_t fallback_asked = 3;      ///< Candidates asked in each further round.
    std::size_t rounds = 4;              ///< Rounds without waiting, the first one included.
    std::size_t wait_at = 1;             ///< Engines in whose queues a refused request waits.
    std::uint32_t min_cached_tokens = 1; ///< Shorter cached prefixes do not count as warm.
};

} // namespace endivestage
