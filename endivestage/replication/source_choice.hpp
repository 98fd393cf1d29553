/// \file
/// \brief From where a router takes changes: the table service or another router.
#pragma once

#include <endivestage/core.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief A router that may follow the table service for others.
struct relay_candidate
{
    router_id id;
    zone_id zone;
    double weight = 1.0; ///< Processor share; larger hosts relay more often.
};

/// \brief Settings of the choice; equal on all routers.
struct source_choice_config
{
    std::size_t relay_count = 2;       ///< Routers that follow the table service for all.
    std::size_t large_fleet_size = 30; ///< From this size on one relay more, for the load.
    /// Fleets with more routers than this for each relay have relays for each zone, one for this
    /// many routers: a relay's processor time and bytes grow with its followers, and a host has an
    /// eighth of a core and 10 Mbit/s.
    std::size_t max_followers = 32;
    /// Knowledge older than this is refreshed from the table service directly. Above the age that
    /// two polls in a row and one failed relay give, below the bounds within which changes must be
    /// in force.
    millis stale_after{1900};
    /// A relay whose copy is older than this has lost the table service: its next poll is overdue.
    millis relay_stale_after{1500};
    millis failed_relay_delay{
        3000}; ///< A router that failed as a relay is passed over for this long.
};

/// \brief Where the next changes come from.
struct change_source
{
    enum class kind
    {
        relay,   ///< Another router.
        service, ///< The table service all the time: this router relays.
        refresh, ///< The table service once, since the copy is stale or no relay is left.
    };

    kind type = kind::refresh;
    router_id relay;
};

/// \brief Chooses a router's source without agreement among routers.
///
/// All routers rank the live ones by the same hash and the first few relay. A relay that does not
/// answer, or that has lost the table service, is passed over and the next in rank is asked; a
/// router that finds itself among the first follows the table service. Routers that disagree about
/// who relays have one relay too many or ask one that follows a relay itself; the age that each
/// answer bears adds up, and a copy that gets too old sends its router to the table service.
class source_choice
{
public:
    source_choice(source_choice_config config, router_id self, zone_id zone)
        : config_(config),
          self_(std::move(self)),
          zone_(std::move(zone))
    {
    }

    /// \param live Routers believed alive, this one included or not.
    /// \param age Of the router's copy; nothing before the first batch.
    change_source choose(std::span<const relay_candidate> live, std::optional<millis> age,
                         time_point now) const;

    /// \brief The relay did not answer or its copy is stale; or, for this router itself, the table
    /// service does not answer it.
    void record_failure(const router_id& relay, time_point now);

    /// \returns The relays among \p live, best first.
    std::vector<router_id> choose_relays(std::span<const relay_candidate> live,
                                         time_point now) const;

    /// \returns Whether a relay's copy of this age shows that it has lost the table service.
    bool is_relay_stale(millis age) const { return age > config_.relay_stale_after; }

private:
    source_choice_config config_;
    router_id self_;
    zone_id zone_;
    std::map<router_id, time_point> distrusted_until_;
};

} // namespace endivestage
