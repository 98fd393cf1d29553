/// \file
/// \brief Order in which endpoints are tried for a request.
#pragma once

#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/prefix_directory.hpp>
#include <endivestage/routing/send_limits.hpp>
#include <endivestage/routing/time_estimate.hpp>

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
    /// Endpoints count as equally good when their estimated times exceed the best one by at most
    /// this share of it and this time. Estimates are no more exact than that.
    double near_share = 0.2;
    millis near_margin{5};
    /// A chat leaves an engine that holds its history only for one that is sooner by more than this
    /// share of the best time and this time, since other routers know the old place only.
    double stay_share = 0.5;
    millis stay_margin{10};
    /// Routers with the same information must not give an endpoint more than this multiple of its
    /// share of the requests, because loads arrive a quarter of a second late. So at least one in
    /// this many endpoints counts as equally good.
    std::size_t max_share_multiple = 4;
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
    /// Estimates of the request's times; null to rank without them. Used only when an endpoint of
    /// the service has reported its pace.
    const time_estimator* estimator = nullptr;
    request_work work; ///< For the estimator.
    zone_id zone;      ///< The router's zone; empty if unknown.
};

/// \brief Ranks the endpoints that were not tried yet for a request, best first.
///
/// Requests with a chat follow the chat's rendezvous order, so that a returning chat finds its
/// cached history without any table. Engines that are known to hold the history precede the others,
/// so that a chat stays on its engine when engines join; engines above the load bound follow those
/// below it. Requests without a chat go to the least loaded endpoint first.
///
/// Where endpoints report a pace and there are enough observations, endpoints below the load bound
/// follow each other by the estimated time of the first event. A chat stays at an engine that holds
/// its history unless another one is clearly sooner. Among the endpoints that are about equally
/// good, chats are spread by rendezvous order, so that all routers place a chat alike. Other
/// requests are spread at random; endpoints of the router's zone precede the others, unless few of
/// them are among the good ones.
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
