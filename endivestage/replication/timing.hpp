/// \file
/// \brief Intervals and age limits of table copies, derived from how soon a change must be in
/// force.
#pragma once

#include <endivestage/core.hpp>

namespace endivestage
{

/// \brief Intervals and age limits of the copies of one fleet; equal on all routers.
///
/// Ages add up from the table service over the primary relay and a relay to a router, and the
/// primary may fail meanwhile. All values are fractions of the time within which a change must be
/// in force, so a fleet with more time makes fewer calls to the table service.
struct replication_timing
{
    /// Age of the primary relay's copies of the operator's and the endpoints' table at which their
    /// long polls end without changes.
    millis poll_wait{600};
    /// Pause after a poll of a table whose rows change often, so that several changes share a call.
    millis change_pause{350};
    /// A relay whose copy is older than this has lost its source: its next poll is overdue.
    millis relay_stale_after{1500};
    /// A copy that is older than this is refreshed directly from the table service.
    millis stale_after{1900};

    /// \param max_change_delay Time within which an accepted change must be in force.
    static constexpr replication_timing for_change_delay(millis max_change_delay)
    {
        replication_timing timing;
        timing.poll_wait = max_change_delay * 30 / 100;
        timing.change_pause = max_change_delay * 35 / 200;
        timing.relay_stale_after = max_change_delay * 75 / 100;
        timing.stale_after = max_change_delay * 95 / 100;
        return timing;
    }
};

} // namespace endivestage
