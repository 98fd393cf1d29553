/// \file
/// \brief Order in which endpoints are tried for a request.
#pragma once

#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/prefix_directory.hpp>
#include <endivestage/routing/send_limits.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Tunables of rank_endpoints.
struct endpoint_choice_config
{
    /// An engine counts as overloaded when its load would exceed load_factor times the mean load of
    /// the pool plus load_slack requests. The factor is lower than the bound that the operator sets
    /// for engine load, because load reports arrive late.
    double load_factor = 1.6;
    double load_slack = 3.0;
    /// An endpoint is avoided when its failure rate exceeds the pool's median by more than this.
    double failure_margin = 0.22;
};

/// \brief Input of rank_endpoints for one request.
struct endpoint_choice_input
{
    std::span<const endpoint_state* const> endpoints; ///< Available endpoints of the service.
    std::span<const endpoint_id> tried; ///< Endpoints that this request was already sent to.
    time_point now;
    /// Hash of the chat whose history may be cached; nothing for requests without history.
    std::optional<std::uint64_t> chat_hash;
    /// Engines that have the chat's history cached; null if it is not known which do.
    const prefix_directory* prefixes = nullptr;
    std::uint64_t tie_breaker = 0; ///< Random number that orders endpoints of equal load.
};

/// \brief Ranks the endpoints that were not tried yet for a request, best first.
///
/// Requests with a chat follow the chat's rendezvous order, so that a returning chat finds its
/// cached history without any table. Engines that are known to hold the history precede the others,
/// so that a chat stays on its engine when engines join; engines above the load bound follow those
/// below it. Requests without a chat go to the least loaded endpoint first.
///
/// Cold endpoints keep their rank; the caller limits what is sent to them (cold_send_share).
/// Avoided endpoints come last instead of being left out, so that a request is still tried when all
/// endpoints are avoided.
std::vector<const endpoint_state*> rank_endpoints(const endpoint_directory& directory,
                                                  const endpoint_choice_input& input,
                                                  const endpoint_choice_config& config);

/// \brief The first two endpoints of a chat by rendezvous hashing alone.
///
/// Every router computes the same pair from its endpoint table. A router without any record of a
/// chat copies the chat's history from one of these endpoints.
struct rendezvous_pair
{
    std::uint64_t first = 0;  ///< Hash of the endpoint's id; 0 without endpoints.
    std::uint64_t second = 0; ///< 0 with fewer than two endpoints.
};

/// \returns The first two of \p endpoints in the rendezvous order of a chat.
rendezvous_pair find_rendezvous_pair(std::span<const endpoint_state* const> endpoints,
                                     std::uint64_t chat_hash);

} // namespace endivestage
