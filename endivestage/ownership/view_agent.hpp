/// \file
/// \brief State machine with which a router follows, confirms and changes the region's view.
#pragma once

#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/core/table.hpp>
#include <endivestage/ownership/messages.hpp>
#include <memory>
#include <span>
#include <system_error>
#include <vector>

namespace endivestage
{

/// \brief Settings of the view agent; equal on all routers of a region.
struct view_config
{
    /// A confirmation permits issuing for this long (rule R1).
    millis confirmation_window{2000};
    /// Added to the window in rule R3, to allow for clocks that run at different speeds.
    millis confirmation_margin{500};
    millis confirm_interval{1000}; ///< Interval between requests to each witness.
    /// The row is read if the confirmation is older than this, so that the table is rarely read
    /// while witnesses answer.
    millis row_read_delay{1300};
    millis resend_interval{500}; ///< Interval between announcements that are not acknowledged.
    /// Each further router in the ranking waits this much longer before it proposes a change or
    /// completes the change of another router.
    millis takeover_delay{2000};
    /// No change is proposed for this long after a view was adopted: the list of live routers is
    /// older than the view, and the failure detector must first detect the view's members.
    millis proposal_delay{200};
    millis table_timeout{3000}; ///< A table operation without a result by then counts as lost.
};

/// \brief Keeps the router's view, confirms it, and takes part in changing it (rules R1 to R4).
///
/// There is one agent per router; it is not thread-safe. Times are those of the router's own
/// monotonic clock, which must advance while the process is paused and must not decrease.
class view_agent
{
public:
    /// \param self Describes this run of this router.
    view_agent(view_config config, region_id region, member self);
    view_agent(view_agent&&) noexcept;
    view_agent& operator=(view_agent&&) noexcept;
    ~view_agent();

    /// \brief Asks witnesses, reads the row, and proposes and completes changes. Must be called
    /// about every 50 ms.
    view_actions tick(time_point now);

    /// \brief Processes the result of a table_request. Unknown tokens are ignored.
    view_actions on_table_result(std::uint64_t token, const table_result& outcome, time_point now);

    /// \brief Processes a message from another router. Replies are among the returned actions.
    view_actions on_message(const confirm_request& message, time_point now);
    /// \copydoc on_message
    view_actions on_message(const confirm_answer& message, time_point now);
    /// \copydoc on_message
    view_actions on_message(const view_announce& message, time_point now);
    /// \copydoc on_message
    view_actions on_message(const view_acknowledgement& message, time_point now);

    /// \brief Sets the routers that should be members, as the failure detector sees them.
    /// \param live Must contain this router.
    /// \sa failure_detector::live_members
    view_actions on_membership(std::span<const member> live, time_point now);

    /// \brief Records that a view with this number exists, for example as received by gossip.
    view_actions on_view_number(std::uint64_t number, time_point now);

    /// \brief Records that, according to an operator or the platform, a run of a router has ended
    /// for good. In rule R3 this counts as an acknowledgement by that run.
    view_actions on_run_ended(const router_id& id, std::uint64_t incarnation, time_point now);

    /// \brief Sets the endpoints of the region.
    view_actions set_endpoints(std::span<const endpoint_id> endpoints, time_point now);

    /// \brief Checks whether this router may issue permits for the endpoint now (R1, R4).
    ///
    /// The caller must also have completed the endpoint's owner_rebuild.
    /// \returns Success, errc::not_owner or errc::unconfirmed_view.
    std::error_code may_issue(const endpoint_id& endpoint, time_point now) const;

    /// \returns The newest view that was adopted; null before the first.
    view_pointer current() const;

    /// \returns Whether a change is in progress and this router completes it.
    bool is_driving_change() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endivestage
