/// \file
/// \brief Identity of a permit, and the check whether a holder may use it (rule R5).
#pragma once

#include <compare>
#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/ownership/view.hpp>
#include <system_error>

namespace endivestage
{

/// \brief A permit may be used for less than this time after the holder requested it.
inline constexpr millis permit_time_to_use{1000};

/// \brief Identity of a permit; unique over all owners and their runs.
struct permit_stamp
{
    endpoint_id endpoint;
    router_id owner;
    std::uint64_t owner_incarnation = 0;
    std::uint64_t view_number = 0; ///< Number of the view in which the permit was issued.
    std::uint64_t sequence = 0;    ///< Sequence number of the permit in this run of the owner.

    auto operator<=>(const permit_stamp&) const = default;
};

/// \brief Checks whether the holder may use a permit. Must be called immediately before the request
/// is written to the endpoint.
/// \param newest The newest view that the holder has adopted.
/// \param requested_at When the holder sent its permit request, on the holder's clock.
/// \param now The current time on the same clock.
/// \returns Success; errc::deadline_exceeded if \p time_to_use has passed; errc::stale_view if a
/// newer view assigns the endpoint to another router or another run of it.
std::error_code check_permit(const permit_stamp& permit, const view& newest,
                             time_point requested_at, time_point now,
                             millis time_to_use = permit_time_to_use);

} // namespace endivestage
