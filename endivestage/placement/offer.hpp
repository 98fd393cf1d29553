/// \file
/// \brief Choice between the offers of several engine owners.
#pragma once

#include <endivestage/placement/config.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace endivestage
{

/// \brief Offer of an engine's owner, which issued a permit for the request.
struct placement_offer
{
    std::size_t rank = 0;    ///< Rank of the engine among the chat's candidates.
    std::uint32_t load = 0;  ///< Requests on the engine, this one included.
    std::uint32_t limit = 1; ///< Load up to which no check against the present loads is needed.
    double capacity = 1.0;   ///< Weight of the engine; positive.
    std::uint32_t cached_tokens = 0; ///< Tokens of the chat in the engine's cache.
};

/// \brief State of an engine, sent by its owner with each answer, refusals included.
struct engine_status
{
    std::uint32_t load = 0; ///< Requests on the engine, without the one that is to be placed.
    double capacity = 1.0;  ///< Full weight of the engine, also while it is cold.
    std::uint32_t cached_tokens = 0; ///< Tokens of the chat in the engine's cache.
};

/// \brief Chooses the offer with the longest cached prefix, or with the lowest load per capacity
/// when the cached prefixes are equally long.
///
/// Ties are broken by rank, so that all routers choose the same engine. A cached prefix shorter
/// than min_cached_tokens counts as none.
/// \returns Position in \p offers; empty when there is no offer.
std::optional<std::size_t> choose_offer(std::span<const placement_offer> offers,
                                        const placement_config& config);

} // namespace endivestage
