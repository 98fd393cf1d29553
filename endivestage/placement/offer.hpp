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

/// \brief What the owner of one engine offered for a request.
struct placement_offer
{
    std::size_t rank = 0;            ///< Rank of the engine among the chat's candidates.
    std::uint32_t load = 0;          ///< Requests on the engine, this one included.
    std::uint32_t limit = 1;         ///< Load that needs no check against the present loads.
    double capacity = 1.0;           ///< Weight of the engine; positive.
    std::uint32_t cached_tokens = 0; ///< Tokens of the chat in the engine's cache.
};

/// \brief What the owner of one engine told with its answer, also with a refusal.
struct engine_status
{
    std::uint32_t load = 0;          ///< Requests on the engine, without the asking one.
    double capacity = 1.0;           ///< Weight of the engine, also while it is cold.
    std::uint32_t cached_tokens = 0; ///< Tokens of the chat in the engine's cache.
};

/// \brief Picks the engine with the longest cached prefix, else the lowest load per capacity.
///
/// Equal offers are decided by rank, so that all routers choose alike.
/// \returns Position in \p offers, or nothing when there is no offer.
std::optional<std::size_t> choose_offer(std::span<const placement_offer> offers,
                                        const placement_config& config);

} // namespace endivestage
