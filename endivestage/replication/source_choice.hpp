/// \file
/// \brief Choice of the source from which a router reads table changes: the table service or a
/// relay.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/timing.hpp>

#include <map>
#include <optional>
#include <span>
#include <string_view>
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
    /// Time for which a relay that did not answer is not chosen again.
    millis failed_relay_delay{3000};
    /// The same for a relay that answered with an old copy. It may be fresh a moment later, so the
    /// time is short, and grows up to failed_relay_delay with consecutive failures.
    millis behind_relay_delay{600};
    /// The same while this router does not reach the table service either. A poll takes this long.
    millis outage_relay_delay{250};
    /// Pause of a relay after a read of the table service that failed. It grows with consecutive
    /// failures up to max_relay_read_pause.
    millis relay_read_pause{120};
    millis max_relay_read_pause{500};
};

/// \brief Where the next changes are read from.
struct change_source
{
    enum class kind
    {
        relay,   ///< Another router.
        service, ///< The table service, continuously: this router is the primary relay.
        refresh, ///< The table service, by single reads: no relay is left.
    };

    kind type = kind::refresh;
    router_id relay;       ///< The relay to ask if type is kind::relay; otherwise empty.
    bool is_relay = false; ///< Whether this router is a relay itself.
};

/// \brief Why a relay was of no use.
enum class relay_failure
{
    unreachable, ///< It did not answer.
    behind,      ///< Its copy is too old, or of an earlier era.
    cut_off,     ///< It does not reach the table service.
};

/// \returns The snake_case name of a reason.
std::string_view to_string(relay_failure failure);

/// \brief Chooses a router's source of changes without agreement among routers.
///
/// All routers rank the live routers in the same order, larger hosts first and hosts of one size by
/// a hash, and the first ones are relays. A relay sends each change to tens of followers, which
/// takes the link and the processor of a small host longer than followers wait. The first relay is
/// the primary: it alone polls the table service, the other relays follow it, and all other routers
/// follow a relay. A relay that does not answer or has lost its source is skipped, and the next in
/// rank takes its place.
///
/// The order does not depend on which routers are skipped. A router follows only routers that rank
/// above it; one that is cut off from the table service says so when it is asked, and may follow
/// any router that is not. So routers never follow each other in a circle, in which all copies
/// would grow old together: nobody follows a router that is cut off but those that are cut off as
/// well and rank below it.
///
/// In an outage all relays are behind. A router that is no relay then keeps asking the relays that
/// it knows, and does not take their place, until one has failed twice in a row.
///
/// Routers that see different sets of live routers have one primary too many, or a longer chain.
/// This is safe: the age that each answer states adds up along the chain, and each router reads the
/// table service itself when its copies get too old, see \ref time_until_read.
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
    /// \param live Routers considered alive, this one included.
    change_source choose(std::span<const relay_candidate> live, time_point now) const;

    /// \brief Tells when this router reads the tables from the table service itself, whatever its
    /// source is.
    ///
    /// A router reads when its copies are too old: the first two in rank, which the others depend
    /// on, before the others. A relay that was cut off reads until it has reached the service.
    /// After a failure it pauses, a relay for a short time and all others for a time that differs
    /// from router to router: relays find out that the service is back, and the others get their
    /// copies from them.
    /// \param live Routers considered alive, this one included.
    /// \param age Age of the router's copies, if they are known to have been current.
    /// \returns The time until the next read; not positive if it is due.
    millis time_until_read(std::span<const relay_candidate> live, std::optional<millis> age,
                           time_point now) const;

    /// \brief Skips a relay.
    /// \returns The time for which it is skipped.
    millis record_failure(const router_id& relay, relay_failure failure,
                          std::span<const relay_candidate> live, time_point now);

    /// \brief Records that a relay was of use.
    void record_answer(const router_id& relay) { skipped_.erase(relay); }

    /// \returns Whether this router may take the age of a copy from a relay that is cut off.
    bool may_follow_cut_off(const router_id& relay, std::span<const relay_candidate> live) const;

    /// \brief Records that this router does not reach the table service.
    void record_failed_read(time_point now);

    /// \brief Records that this router reaches the table service. Relays that were skipped while it
    /// did not are asked again: nothing is known of them but that this router was cut off.
    void record_read();

    /// \returns Whether this router does not reach the table service, as far as it has tried.
    bool is_cut_off() const { return cut_off_; }

    /// \brief Asks all relays again, also those that failed.
    void forget_failures() { skipped_.clear(); }

    /// \returns The relays among \p live, best first within the fleet or within each zone.
    std::vector<router_id> choose_relays(std::span<const relay_candidate> live,
                                         time_point now) const;

    /// \returns The relay that polls the table service for the fleet; empty without relays.
    /// \param relays The result of \ref choose_relays.
    static router_id choose_primary(std::span<const relay_candidate> live,
                                    std::span<const router_id> relays);

    /// \returns Whether a relay with a copy of this age has lost its source.
    bool is_relay_stale(millis age) const { return age > config_.timing.relay_stale_after; }

    /// \returns Whether a router with a copy of this age should have heard from its source.
    bool is_overdue(millis age) const { return age > config_.timing.overdue_after; }

    const replication_timing& timing() const { return config_.timing; }
    void set_timing(const replication_timing& timing) { config_.timing = timing; }

private:
    /// \brief Why and until when a relay is not asked.
    struct skipped_relay
    {
        relay_failure failure = relay_failure::unreachable;
        time_point until;
        int failures = 0; ///< Consecutive ones.
    };

    /// Failures after which a relay that answers counts as lost.
    static constexpr int confirming_failures = 2;

    /// Largest difference between the ages at which two routers read.
    static constexpr std::size_t max_stagger_ms = 100;

    bool is_skipped(const router_id& relay, time_point now) const;
    std::vector<router_id> rank(std::span<const relay_candidate> live,
                                std::vector<relay_candidate> eligible) const;
    std::vector<router_id> reachable_relays(std::span<const relay_candidate> live,
                                            time_point now) const;
    router_id unconfirmed_relay(std::span<const router_id> relays) const;
    millis read_age(std::size_t routers, bool is_first) const;
    millis read_pause(bool is_relay) const;

    source_choice_config config_;
    router_id self_;
    zone_id zone_;
    std::map<router_id, skipped_relay> skipped_;
    bool cut_off_ = false;
    std::int64_t failed_reads_ = 0; ///< Consecutive ones.
    time_point last_failed_read_;
};

} // namespace endivestage
