/// \file
/// \brief When a permit may be used (rule R5).
#pragma once

#include <compare>
#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/ownership/view.hpp>
#include <system_error>

namespace endivestage
{

/// \brief Time between the holder's permit request and the last instant at which the permit may
/// be used.
inline constexpr millis permit_time_to_use{1000};

/// \brief Identity of a permit: unique over all owners and their runs.
struct permit_stamp
{
    endpoint_id endpoint;
    router_id owner;
    std::uint64_t owner_incarnation = 0;
    std::uint64_t view_number = 0; ///< View under which it was issued.
    std::uint64_t sequence = 0;    ///< Issue sequence number of this run of the owner.

    auto operator<=>(const permit_stamp&) const = default;
};

/// \brief Whether the holder may use a permit at this instant. Must be checked immediately before
/// the request is written to the engine.
/// \param newest The holder's newest view.
/// \param asked When the holder sent its permit request, on its own clock.
/// \returns Success; errc::deadline_exceeded after the time to use; errc::stale_view when a newer
/// view gives the engine to another router or another run of it.
std::error_code check_permit(const permit_stamp& permit, const view& newest, time_point asked,
                             time_point now, millis time_to_use = permit_time_to_use);

} // namespace endivestage
