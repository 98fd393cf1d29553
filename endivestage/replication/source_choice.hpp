/// \file
/// \brief Choice of the source from which a router reads table changes: the table service or a
/// relay.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/timing.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief A router that may relay: it serves table changes to other routers, its followers.
struct relay_candidate
{
    router_id id;
    zone_id zone;
    double weight = 1.0; ///< Processor share; the largest hosts become relays.
};

/// \brief Tunables of \ref source_choice; must be equal on all routers.
struct source_choice_config
{
    std::size_t relay_count = 2;       ///< Number of relays of the fleet.
    std::size_t large_fleet_size = 30; ///< From this size on one relay more, for the load.
    /// Fleets with more routers than this for each relay have relays per zone, one for this many
    /// routers of the zone. The processor time and the traffic of a relay grow with its followers,
    /// and a host has an eighth of a core and 10 Mbit/s.
    std::size_t max_followers = 32;
    replication_timing timing;
    millis failed_relay_delay{3000}; ///< Time for which a failed relay is not chosen again.
};

/// \brief Where the next changes are read from.
struct change_source
{
    enum class kind
    {
        relay,   ///< Another router.
        service, ///< The table service, continuously: this router is the primary relay.
        refresh, ///< The table service, once: the copy is stale or no relay is left.
    };

    kind type = kind::refresh;
    router_id relay;       ///< The relay to ask if type is kind::relay; otherwise empty.
    bool is_relay = false; ///< Whether this router is a relay itself.
};

/// \brief Chooses a router's source of changes without agreement among routers.
///
/// All routers rank the live routers in the same order, larger hosts first and hosts of one size by
/// a hash, and the first ones are relays. A relay sends each change to tens of followers, which
/// takes the link and the processor of a small host longer than followers wait. The first relay is
/// the primary: it alone polls the table service, the other relays follow it, and all other routers
/// follow a relay. A relay that does not answer or has lost its source is skipped, and the next in
/// rank takes its place.
///
/// Routers that see different sets of live routers have one primary too many, or ask a router that
/// follows a relay itself. This is safe: the age that each answer states adds up along the chain,
/// and a router whose copy gets too old asks the table service.
class source_choice
{
public:
    source_choice(source_choice_config config, router_id self, zone_id zone)
        : config_(config),
          self_(std::move(self)),
          zone_(std::move(zone))
    {
    }

    /// \brief Chooses the source of the next changes.
    /// \param live Routers considered alive; may or may not include this one.
    /// \param age Age of this router's copy; nothing before the first batch.
    change_source choose(std::span<const relay_candidate> live, std::optional<millis> age,
                         time_point now) const;

    /// \brief Records that a relay did not answer or has a stale copy. The id of this router itself
    /// means that the table service did not answer it.
    void record_failure(const router_id& relay, time_point now);

    /// \brief Asks all relays again, also those that failed.
    void forget_failures() { excluded_until_.clear(); }

    /// \returns The relays among \p live, best first within the fleet or within each zone.
    std::vector<router_id> choose_relays(std::span<const relay_candidate> live,
                                         time_point now) const;

    /// \returns The relay that polls the table service for the fleet; empty without relays.
    /// \param relays The result of \ref choose_relays.
    static router_id choose_primary(std::span<const relay_candidate> live,
                                    std::span<const router_id> relays);

    /// \returns Whether a relay with a copy of this age has lost its source.
    bool is_relay_stale(millis age) const { return age > config_.timing.relay_stale_after; }

    millis failed_relay_delay() const { return config_.failed_relay_delay; }

    const replication_timing& timing() const { return config_.timing; }
    void set_timing(const replication_timing& timing) { config_.timing = timing; }

private:
    source_choice_config config_;
    router_id self_;
    zone_id zone_;
    std::map<router_id, time_point> excluded_until_; ///< Failed relays.
};

} // namespace endivestage
