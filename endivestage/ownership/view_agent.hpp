/// \file
/// \brief A router's part in the region's view: confirmation, change, ownership.
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
    millis confirmation_window{2000}; ///< W of rule R1.
    millis confirmation_margin{500};  ///< Added to W in rule R3 for clocks of unequal speed.
    millis confirm_interval{1000};    ///< Each witness is asked once in this time.
    /// The row is read when the confirmation is older than this; less often while witnesses answer.
    millis row_read_delay{1300};
    millis resend_interval{500}; ///< Announcements without acknowledgement are repeated after this.
    millis takeover_delay{2000}; ///< The next rank proposes, or takes a change over, after this.
    /// No change is proposed for this long after a view was adopted: the list of live routers is
    /// older than the view, and the failure detector must first learn the view's members.
    millis proposal_delay{200};
    millis table_timeout{3000}; ///< A table operation without outcome counts as lost after this.
};

/// \brief Keeps the router's view, confirms it, and takes part in changing it (rules R1 to R4).
///
/// One per router; not thread-safe. Instants are those of the router's own monotonic clock, which
/// must go on while the process is paused, and must not decrease.
class view_agent
{
public:
    /// \param self This run of this router.
    view_agent(view_config config, region_id region, member self);
    view_agent(view_agent&&) noexcept;
    view_agent& operator=(view_agent&&) noexcept;
    ~view_agent();

    /// \brief Asks witnesses, reads the row, proposes and completes changes. Call about every
    /// 50 ms.
    view_actions tick(time_point now);

    /// \brief Takes the outcome of a table_request. Unknown tokens are ignored.
    view_actions on_table_result(std::uint64_t token, const table_result& outcome, time_point now);

    /// \brief Takes a message from another router; answers are among the actions.
    view_actions on_message(const confirm_request& message, time_point now);
    /// \copydoc on_message
    view_actions on_message(const confirm_answer& message, time_point now);
    /// \copydoc on_message
    view_actions on_message(const view_announce& message, time_point now);
    /// \copydoc on_message
    view_actions on_message(const view_acknowledgement& message, time_point now);

    /// \brief Takes the routers that should be members, by the failure detector.
    /// \sa failure_detector::live
    view_actions on_membership(std::span<const member> live, time_point now);

    /// \brief Takes the news, for example by gossip, that a view with this number exists.
    view_actions on_view_number(std::uint64_t number, time_point now);

    /// \brief Takes the statement, by an operator or the platform, that a run of a router has
    /// ended for good. It counts as that run's acknowledgement in rule R3.
    view_actions on_run_ended(const router_id& id, std::uint64_t incarnation, time_point now);

    /// \brief Takes the engines of the region.
    view_actions set_endpoints(std::span<const endpoint_id> endpoints, time_point now);

    /// \brief Whether this router holds the right to issue permits at this instant (R1, R4).
    ///
    /// The caller must also have finished the engine's owner_rebuild.
    /// \returns Success, errc::not_owner or errc::unconfirmed_view.
    std::error_code may_issue(const endpoint_id& endpoint, time_point now) const;

    /// \returns The newest view known; null before the first.
    view_pointer current() const;

    /// \returns Whether a change is in progress and this router drives it.
    bool is_driving_change() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endivestage
