/// \file
/// \brief Parameters of placement, kept together so that measurements can vary them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace endivestage
{

/// \brief Parameters of the choice of an engine for a chat.
struct placement_config
{
    std::size_t first_asked = 3; ///< Candidates asked in the first round.
    /// Maximum size of a pool that is asked as a whole when no offer of the first round has the
    /// chat cached, so that a warm engine is found whatever its rank.
    std::size_t max_whole_pool_size = 12;
    std::size_t fallback_asked = 3; ///< Candidates asked in each further round.
    /// Rounds without waiting, the first one included.
    std::size_t max_rounds = 4;
    /// Engines in whose queues a refused request waits.
    std::size_t max_wait_engines = 1;
    /// Requests that may end between the owners' answers and the start of the request; the check
    /// against the present loads leaves them out of the mean. With 1, 3 of about 44,000
    /// admissions were above the bound in a quiet pool, with 2 none.
    double completion_allowance = 2.0;
    /// Bound that the check against the present loads applies: the maximum load of an engine, as a
    /// multiple of its share of the pool's mean load.
    double multiple = 1.25;
    /// Minimum number of tokens that an import must add to the chosen engine's cache; 0 disables
    /// imports. Fewer tokens are computed again, since the setup of an import takes as long as the
    /// prefill of some hundred tokens. Only pools that are asked as a whole import: larger pools
    /// meet the target for reused tokens without imports.
    std::uint32_t min_import_tokens = 500;
    std::uint32_t min_cached_tokens = 1; ///< Shorter cached prefixes are ignored in the choice.
};

} // namespace endivestage
