/// \file
/// \brief How a starting router gets its first copies of the tables.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/source_choice.hpp>

#include <algorithm>
#include <cstddef>

namespace endivestage
{

/// \brief How a relay answered a starting router.
enum class relay_answer
{
    tables,      ///< It delivered its copies.
    not_ready,   ///< It is starting itself; it has its tables shortly.
    unreachable, ///< Its process does not run or did not answer.
};

/// \brief Decides whom a starting router asks for the tables, and when.
///
/// Calls to the table service cost money and hundreds of routers may start at once, so a router
/// asks relays first. The first in rank reads the table service, and its answer travels from relay
/// to relay within milliseconds.
class start_sequence
{
public:
    /// \param relay_period Time for which relays are asked before the table service.
    start_sequence(time_point started, millis relay_period)
        : asks_relays_until_(started + relay_period)
    {
    }

    /// \returns Whether the router reads the table service now instead of asking the relay.
    bool reads_service(const change_source& source, time_point now) const
    {
        return source.type != change_source::kind::relay || now >= asks_relays_until_;
    }

    /// \returns Pause before the next step. A relay that is not reachable is skipped by \ref
    /// source_choice, and the next one can be asked at once.
    static constexpr millis pause_after(relay_answer answer)
    {
        return answer == relay_answer::not_ready ? not_ready_pause : millis{0};
    }

    /// \returns Time for which relays are asked before the table service. It covers two relays
    /// whose hosts do not answer, and a relay that starts at the same time. \param routers
    /// Registered routers. Their reads are spread at a rate that the table service serves when no
    /// relay answers any of them.
    static millis relay_period(const router_id& self, std::size_t routers)
    {
        return shortest_relay_period +
               millis{static_cast<std::int64_t>(hash64(self.view()) %
                                                std::max<std::size_t>(routers, 1))};
    }

    /// A relay keeps a poll open until it has its tables, so it answers like this only before it
    /// has joined the fleet, which takes two calls of the table service.
    static constexpr millis not_ready_pause{20};
    /// Time for a connection to a relay. Routers of a region are a few milliseconds apart; while
    /// the router starts its callers wait.
    static constexpr millis connect_timeout{200};

    static constexpr millis shortest_relay_period{450};

private:
    time_point asks_relays_until_;
};

} // namespace endivestage
