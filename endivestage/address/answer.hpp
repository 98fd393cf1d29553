/// \file
/// \brief Answers to GET /v1/addresses.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace endivestage
{

/// \brief Status of a router, as the answering router sees it.
struct router_status
{
    router_id id;
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    zone_id zone;
    region_id region;
    bool live = false;
    bool leaving = false;
    bool zone_in_service = true;
};

/// \brief Parameters of an answer.
struct address_query
{
    zone_id zone;                ///< The caller's zone; empty when unknown.
    region_id region;            ///< The region of that zone; empty when unknown.
    std::uint64_t rotation = 0;  ///< Differs between answers, to distribute callers.
    std::size_t max_entries = 8; ///< Must be positive.
    millis lifetime{5'000};      ///< Time for which the caller may use the answer.
};

/// \brief Address of one router.
struct address_entry
{
    router_id id;
    std::string host;
    std::uint16_t port = 0;
    zone_id zone;

    bool operator==(const address_entry&) const = default;
};

/// \brief The answer, with the preferred address first.
struct address_answer
{
    std::vector<address_entry> routers;
    millis lifetime;
};

/// \brief Lists routers that accept callers.
///
/// Routers in the caller's zone come first, then those in other zones of its region, then those in
/// other regions. Each of these groups is rotated.
/// \param routers Routers in any order.
/// \returns Live routers that are not leaving and whose zone is in service; may be empty.
address_answer make_address_answer(std::span<const router_status> routers,
                                   const address_query& query);

} // namespace endivestage
