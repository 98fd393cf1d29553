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
    std::size_t relays = 2;       ///< Routers that follow the table service for all.
    std::size_t large_fleet = 30; ///< From this size on one relay more, for the load.
    /// Knowledge older than this is refreshed from the table service directly. Above the age that
    /// two polls in a row give, below the bounds within which changes must be in force.
    millis stale_after{1500};
    millis direct_period{3000}; ///< How long the direct way is kept after relays were stale.
    millis distrust{2000};      ///< A relay that failed is not asked again before.
};

/// \brief Where the next changes come from.
struct change_source
{
    std::optional<router_id> relay; ///< Nothing: the table service.
};

/// \brief Chooses a router's source without agreement among routers.
///
/// All routers rank the live ones by the same hash and the first few relay. Routers that disagree
/// about who is alive have one relay too many or ask one that does not relay; what that one answers
/// is then as old as its own copy, and a copy too old sends the asker to the table service.
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
                         time_point now);

    /// \brief The relay did not answer, or its answer was no younger than the router's own copy.
    void failed(const router_id& relay, time_point now);

    /// \returns The relays among \p live, best first.
    std::vector<router_id> relays(std::span<const relay_candidate> live) const;

private:
    source_choice_config config_;
    router_id self_;
    zone_id zone_;
    time_point direct_until_{-1};
    std::map<router_id, time_point> distrusted_until_;
};

} // namespace endivestage
