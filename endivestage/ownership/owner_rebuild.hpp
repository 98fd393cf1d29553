/// \file
/// \brief Recovery of the count of outstanding permits by a new owner (rule R6).
#pragma once

#include <cstddef>
#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/ownership/messages.hpp>
#include <endivestage/ownership/permit_stamp.hpp>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief A permit that a router holds and has not returned.
struct outstanding_permit
{
    permit_stamp stamp;
    message_origin holder;
};

/// \brief Record of the outstanding permits of an endpoint, made by its previous owner.
struct owner_account
{
    std::uint64_t ended_in = 0; ///< Copied from ownership_lost.
    /// Whether ownership_lost::account_complete was set and the previous owner's own rebuild was
    /// settled. \sa owner_rebuild::is_settled
    bool complete = false;
    std::vector<outstanding_permit> outstanding; ///< All permits that it counts, of any owner.
};

/// \brief Answer of a router that was asked which permits it holds on an endpoint.
///
/// The router must adopt the view of the request before it answers; otherwise it could accept a
/// permit of the previous owner after the answer.
struct held_permits_answer
{
    message_origin from;
    std::uint64_t view_number = 0; ///< Number of the router's newest view when it answered.
    std::vector<outstanding_permit> permits;
    std::optional<owner_account> account; ///< Set by a router that owned the endpoint before.
};

/// \brief Settings of the rebuild.
struct rebuild_config
{
    millis time_to_use = permit_time_to_use;
    /// Maximum age of the state that a load report shows, at the time when it is requested.
    millis report_lag{1000};
    /// No request of an earlier owner runs any more when this time has passed after the takeover.
    millis max_request_duration{600000};
    millis resend_interval{500}; ///< Interval between requests that are not answered.
};

/// \brief Rebuilds a new owner's count of the permits on an endpoint. One object per takeover.
class owner_rebuild
{
public:
    owner_rebuild(rebuild_config config, const ownership_acquired& takeover);

    /// \returns The routers that must be asked now, or asked again, which permits they hold. The
    /// request must carry takeover_view().
    std::vector<member> tick(time_point now);

    /// \brief Processes an answer. Ignored if it was given in an older view than takeover_view().
    void on_answer(const held_permits_answer& answer, time_point now);

    /// \brief Processes a load report of the endpoint.
    /// \param load Number of requests that the endpoint reports as running or queued.
    /// \param requested_at When the report was requested, on the owner's clock. This must not be
    /// the time at which it was read: the process may have been paused while the report waited.
    /// \param own_permits Outstanding permits of this owner that were issued at least time_to_use +
    /// report_lag before \p requested_at. Newer ones must be left out: the report may not show them
    /// yet, and they would hide unexplained load.
    void on_load_report(std::size_t load, time_point requested_at,
                        std::span<const permit_stamp> own_permits);

    /// \brief Records that a run of a router has ended: its answer is no longer needed, and the
    /// permits that it held are no longer outstanding.
    void on_run_ended(const router_id& id, std::uint64_t incarnation);

    /// \returns Whether the count is complete, so that permits may be issued.
    bool is_complete() const { return complete_; }

    /// \returns Permits of other owners that are known to be outstanding.
    std::vector<outstanding_permit> known_permits() const;

    /// \brief Records that a permit on the endpoint was returned, whichever owner issued it.
    ///
    /// If the permit explained a part of the last report, its request may have ended before that
    /// report, so this part of the load counts as unexplained until the next report.
    void on_permit_returned(const permit_stamp& permit);

    /// \returns Load that must be counted in addition to known_permits() and own permits.
    std::size_t unexplained_load() const;

    /// \returns Whether it is certain that known_permits() and own permits explain all load.
    bool is_settled() const;

    /// \returns The view of the takeover.
    const view& takeover_view() const { return *takeover_.acquired_in; }

private:
    struct asked_router
    {
        member router;
        bool answered = false;
        std::optional<time_point> asked_at;
    };

    void add_permit(const outstanding_permit& permit);
    void apply_account(const owner_account& account);
    void update_completeness();

    rebuild_config config_;
    ownership_acquired takeover_;
    std::vector<asked_router> asked_routers_;
    std::map<permit_stamp, message_origin> known_permits_;
    /// Returned permits. An answer that was sent before the return may arrive after it.
    std::set<permit_stamp> returned_permits_;
    bool account_complete_ = false;
    /// Load of the last report minus the number of permits in explaining_permits_.
    std::ptrdiff_t unexplained_load_ = 0;
    /// Outstanding permits whose requests the last report may include.
    std::set<permit_stamp> explaining_permits_;
    bool complete_ = false;
};

} // namespace endivestage
