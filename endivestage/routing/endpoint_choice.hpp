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

/// \brief Limits of the choice.
struct endpoint_choice_config
{
    /// An engine above this multiple of the pool's mean load, plus slack, is passed over. Below the
    /// multiple that the operator bounds the load by, since load reports are late.
    double load_factor = 1.6;
    double load_slack = 3.0;
    /// An endpoint whose failure rate is this far above the pool's median is passed over.
    double failure_margin = 0.22;
};

/// \brief The state that a choice is made from.
struct endpoint_choice_input
{
    std::span<const endpoint_state* const> endpoints; ///< Available ones of the service.
    std::span<const endpoint_id> tried;               ///< Not chosen again for this request.
    time_point now;
    /// Hash of the chat whose history may be cached; nothing for requests without history.
    std::optional<std::uint64_t> chat_hash;
    /// Engines that hold the chat's history; null when none is known.
    const prefix_directory* prefixes = nullptr;
    std::uint64_t tie_breaker = 0; ///< Breaks ties among endpoints of equal load.
};

/// \brief Ranks the endpoints for a request, best first.
///
/// With a chat: the chat's rendezvous order, so that returning chats find their cache without any
/// table; engines that are known to hold the history come first, so that a chat stays where it is
/// when engines join; engines above the load bound come after those below it. Without: least loaded
/// first. Cold endpoints keep their rank; the caller sends to them within a share only.
/// Avoided endpoints come last, so that a request is still tried when all are avoided.
std::vector<const endpoint_state*> rank_endpoints(const endpoint_directory& directory,
                                                  const endpoint_choice_input& input,
                                                  const endpoint_choice_config& config);

/// \brief The first two endpoints for a chat by rendezvous hashing alone.
///
/// Every router knows them without being told: a router that knows nothing else of a chat copies
/// its history from these.
struct rendezvous_pair
{
    std::uint64_t first = 0;  ///< Hash of the endpoint's id; 0 without endpoints.
    std::uint64_t second = 0; ///< 0 with fewer than two endpoints.
};

/// \returns The homes of a chat among \p endpoints.
rendezvous_pair find_rendezvous_pair(std::span<const endpoint_state* const> endpoints,
                                     std::uint64_t chat);

} // namespace endivestage
