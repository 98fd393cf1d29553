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

/// \brief A router as the answering router knows it.
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

/// \brief What a caller asks.
struct address_query
{
    zone_id zone;                ///< The caller's zone; empty when unknown.
    region_id region;            ///< The region of that zone; empty when unknown.
    std::uint64_t rotation = 0;  ///< Differs from answer to answer, to spread callers.
    std::size_t max_entries = 8; ///< Most entries wanted; positive.
    millis lifetime{5'000};      ///< How long the caller may use the answer.
};

/// \brief One address.
struct address_entry
{
    router_id id;
    std::string host;
    std::uint16_t port = 0;
    zone_id zone;

    bool operator==(const address_entry&) const = default;
};

/// \brief The answer, best address first.
struct address_answer
{
    std::vector<address_entry> routers;
    millis lifetime;
};

/// \brief Lists routers that accept callers.
///
/// Order: the caller's zone, other zones of its region, other regions; rotated within each group.
/// \param routers In any order.
/// \returns Live, non-leaving routers in zones in service; may be empty.
address_answer make_address_answer(std::span<const router_status> routers,
                                   const address_query& query);

} // namespace endivestage
