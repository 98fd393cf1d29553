/// \file
/// \brief Whether a stream that is taken up goes on, and which routers know where it began.
#pragma once

#include <endivestage/continuation/stream_origins.hpp>
#include <endivestage/core.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// Routers that are told where a stream began, besides the one that passes it on.
inline constexpr std::size_t told_holders = 3;
/// Routers that are asked where a stream began: more than are told, since lists of live routers
/// differ while some of them are killed or return.
inline constexpr std::size_t asked_holders = 5;

/// \brief What follows for a stream that is taken up.
struct take_up_decision
{
    bool goes_on = false;                 ///< Otherwise the request is refused.
    std::optional<std::uint64_t> version; ///< Key of the only version at which it may go on.
};

/// \brief Decides whether a stream goes on.
/// \param origin Where it began, if that is known.
/// \param service Hash of the service that the request is for.
/// \param versions Keys of the versions that may have begun a stream of that service, as far as
/// this router knows. \param current Whether its copy of the endpoints was current after the
/// request had arrived. An older copy may lack the version that began the stream.
take_up_decision decide_take_up(const std::optional<stream_origin>& origin, std::uint64_t service,
                                std::span<const std::uint64_t> versions, bool current = true);

/// \returns The first \p count routers in the stream's rendezvous order.
std::vector<router_id> choose_holders(std::uint64_t stream, std::span<const router_id> routers,
                                      std::size_t count);

} // namespace endivestage
