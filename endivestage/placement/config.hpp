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
    std::size_t first_asked = 3; ///< Candidates asked in the first round (k).
    /// Pools up to this size are asked as a whole when the first round offers no engine that has
    /// the chat cached, so that a warm engine is found wherever it is.
    std::size_t max_whole_pool_size = 12;
    std::size_t fallback_asked = 3;   ///< Candidates asked in each further round.
    std::size_t max_rounds = 4;       ///< Rounds without waiting, the first one included.
    std::size_t max_wait_engines = 1; ///< Engines in whose queues a refused request waits.
    /// Requests that may end between the owners' answers and the start of the request; the check
    /// against the present loads leaves them out of the mean. With 1, 3 of about 44,000
    /// admissions were above the bound in a quiet pool, with 2 none.
    double completion_allowance = 2.0;
    double multiple = 1.25; ///< Configured bound (I1) for the check against the present loads.
    /// Shorter gains are computed again instead of imported: the import's setup takes as long as
    /// the prefill of some hundred tokens. 0 imports nothing. Only pools that are asked as a whole
    /// import: larger ones meet the reuse target without.
    std::uint32_t min_import_tokens = 500;
    std::uint32_t min_cached_tokens = 1; ///< Shorter cached prefixes do not count as warm.
};

} // namespace endivestage
