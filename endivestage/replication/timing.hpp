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
/// in force, so a fleet with more time makes fewer calls to the table service. A router reads the
/// table service itself at \ref stale_after at the latest, whatever its relays answer: this time
/// and that of one read are the bound on the age of its copies.
struct replication_timing
{
    /// Age of the primary relay's copies of the operator's and the endpoints' table at which their
    /// long polls end without changes.
    millis poll_wait{600};
    /// Pause after a poll of a table whose rows change often, so that several changes share a call.
    millis change_pause{350};
    /// A copy that is older than this is overdue: a relay with a younger one answers its follower
    /// at once.
    millis overdue_after{1200};
    /// A relay whose copy is older than this has lost its source: its next poll is overdue.
    millis relay_stale_after{1500};
    /// A copy that is older than this is refreshed directly from the table service.
    millis stale_after{1800};
    /// Pause of a router that is no relay after a read of the table service that failed; up to a
    /// half less, so that routers do not read together.
    millis read_pause{1500};

    /// \param max_change_delay Time within which an accepted change must be in force.
    static constexpr replication_timing for_change_delay(millis max_change_delay)
    {
        replication_timing timing;
        timing.poll_wait = max_change_delay * 30 / 100;
        timing.change_pause = max_change_delay * 35 / 200;
        timing.overdue_after = max_change_delay * 60 / 100;
        timing.relay_stale_after = max_change_delay * 75 / 100;
        timing.stale_after = max_change_delay * 90 / 100;
        timing.read_pause = max_change_delay * 75 / 100;
        return timing;
    }
};

} // namespace endivestage
