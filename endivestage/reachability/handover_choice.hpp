/// \file
/// \brief Which router a request is handed to while this one is cut off from the endpoints.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace endivestage
{

/// \brief A router that a request may be handed to.
struct handover_candidate
{
    router_id id;
    zone_id zone;
    double weight = 1.0; ///< Processor share of its host.
};

/// \brief Limits of \ref handover_choice.
struct handover_choice_config
{
    /// Requests that this router has open at another one at the same time.
    std::size_t max_open_per_router = 256;
    /// A router that refused a request, or did not answer, is left out for this time.
    millis refusal_pause{300};
    millis unreachable_pause{1000};
    /// Share of the load of the least loaded candidate beyond which a candidate in the own zone is
    /// no longer preferred.
    double near_share = 0.5;
};

/// \brief Spreads requests over the other routers by the requests that this one has open there,
/// relative to their processor shares. Not thread-safe.
class handover_choice
{
public:
    handover_choice(zone_id zone, handover_choice_config config = {})
        : zone_(std::move(zone)),
          config_(config)
    {
    }

    /// \param tried Routers that the request was already offered to.
    /// \returns Nothing if no router may get a request.
    std::optional<router_id> choose(std::span<const handover_candidate> candidates,
                                    std::span<const router_id> tried, random_source& random,
                                    time_point now) const;

    void begin(const router_id& router);
    void end(const router_id& router);

    void record_refusal(const router_id& router, time_point now);
    void record_unreachable(const router_id& router, time_point now);

    /// \returns Requests that this router has open at others.
    std::size_t open() const;

private:
    struct router_load
    {
        std::size_t open = 0;
        time_point paused_until;
    };

    zone_id zone_;
    handover_choice_config config_;
    std::map<router_id, router_load> loads_;
};

} // namespace endivestage
