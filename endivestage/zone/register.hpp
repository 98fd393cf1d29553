/// \file
/// \brief The replicated register of one availability zone.
#pragma once

#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage
{

/// \brief What operators want of a zone.
enum class zone_state
{
    in_service,
    out_of_service,
};

/// \returns "in_service" or "out_of_service".
std::string_view to_string(zone_state state);

/// \brief State of one zone with its order among changes.
struct zone_register
{
    zone_id zone;
    std::uint64_t counter = 0; ///< Grows by one with each change; 0: never changed.
    zone_state state = zone_state::in_service;
    std::string author;

    bool operator==(const zone_register&) const = default;
};

/// \brief Whether \p a replaces \p b.
///
/// The higher counter wins; on equal counters out of service wins, then the greater author, so
/// that all routers agree. This is a strict total order over registers of one zone.
bool supersedes(const zone_register& a, const zone_register& b);

/// \returns The winner of two registers of one zone.
zone_register merge_registers(const zone_register& a, const zone_register& b);

/// \returns The register as JSON text for the table row and for zone/put.
std::string to_json(const zone_register& value);

/// \returns The register of a text, or errc::invalid_request.
result<zone_register> zone_register_from_json(std::string_view text);

/// \returns Key of the table row of a zone.
std::string zone_row_key(const zone_id& zone);

} // namespace endivestage
