/// \file
/// \brief Replicated register with the service state of one availability zone.
#pragma once

#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage
{

/// \brief Service state of a zone, as set by operators.
enum class zone_state
{
    in_service,
    out_of_service,
};

/// \returns "in_service" or "out_of_service".
std::string_view to_string(zone_state state);

/// \brief State of one zone, versioned so that all routers order changes equally.
struct zone_register
{
    zone_id zone;
    std::uint64_t counter = 0; ///< Increases by one with each change; 0 when never changed.
    zone_state state = zone_state::in_service;
    std::string author; ///< Operator who made the change.

    bool operator==(const zone_register&) const = default;
};

/// \returns Whether \p a replaces \p b.
///
/// The higher counter wins; on equal counters out of service wins, then the author that compares
/// greater, so that all routers agree. This is a strict total order over registers of one zone.
bool supersedes(const zone_register& a, const zone_register& b);

/// \returns The one of two registers of a zone that supersedes the other; \p a when they are equal.
zone_register merge_registers(const zone_register& a, const zone_register& b);

/// \returns The register as JSON text, for the table row and for announcements to other routers.
std::string to_json(const zone_register& value);

/// \returns The decoded register, or errc::invalid_request when the text is malformed.
result<zone_register> zone_register_from_json(std::string_view text);

/// \returns Key of the table row that stores the register of a zone.
std::string zone_row_key(const zone_id& zone);

} // namespace endivestage
