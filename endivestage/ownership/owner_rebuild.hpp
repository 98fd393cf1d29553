/// \file
/// \brief What a new owner must learn before it issues permits (rule R6).
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

/// \brief What the previous owner knows about an engine that it gave up.
struct owner_account
{
    std::uint64_t ended_in = 0; ///< From ownership_lost.
    /// From ownership_lost, and its own rebuild was settled. \sa owner_rebuild::is_settled
    bool complete = false;
    std::vector<outstanding_permit> outstanding; ///< All permits that it counts, of any owner.
};

/// \brief Answer to the question which permits a router holds on an engine.
///
/// The router must have adopted the view of the question before it answers; otherwise it could
/// accept a permit of the previous owner afterwards.
struct held_permits_answer
{
    message_origin from;
    std::uint64_t view_number = 0; ///< The router's newest view when it answered.
    std::vector<outstanding_permit> permits;
    std::optional<owner_account> account; ///< Set by a router that owned the engine before.
};

/// \brief Settings of the rebuild.
struct rebuild_config
{
    millis time_to_use = permit_time_to_use;
    millis report_lag{
        1000}; ///< Greatest age of the state that a report shows when it is asked for.
    millis max_request_duration{600000}; ///< After this, no request of an earlier owner is left.
    millis resend_interval{500};         ///< Questions without answer are repeated after this.
};

/// \brief Rebuilds a new owner's count of an engine. One per takeover.
class owner_rebuild
{
public:
    owner_rebuild(rebuild_config config, const ownership_acquired& takeover);

    /// \returns The routers to ask (again) now which permits they hold, with the question's view.
    std::vector<member> tick(time_point now);

    /// \brief Takes an answer. One given under an older view than the takeover's is ignored.
    void on_answer(const held_permits_answer& answer, time_point now);

    /// \brief Takes the engine's load report.
    /// \param load Requests that the engine reports as running or queued.
    /// \param asked When the report was asked for, on the owner's clock. The time at which it was
    /// read must not be used: the process may have been paused while the report waited.
    /// \param own_used Outstanding permits of this owner that were issued at least time_to_use +
    /// report_lag before \p asked. Younger ones must not be named: the report may not show them
    /// yet, and they would hide unexplained load.
    void on_load_report(std::size_t load, time_point asked, std::span<const permit_stamp> own_used);

    /// \brief A run of a router has ended: its answer is not needed and its permits are gone.
    void on_run_ended(const router_id& id, std::uint64_t incarnation);

    /// \returns Whether the count is complete, so that permits may be issued.
    bool is_complete() const { return complete_; }

    /// \returns Permits of other owners that are known to be outstanding.
    std::vector<outstanding_permit> known_permits() const;

    /// \brief Takes the return of a permit on the engine, of whichever owner.
    ///
    /// A permit that explained a part of the last report may have ended before that report, so
    /// its part counts as unexplained until the next report.
    void on_permit_returned(const permit_stamp& permit);

    /// \returns Load to count in addition to known and own permits.
    std::size_t unexplained_load() const;

    /// \returns Whether certainly no load is left that no known or own permit explains.
    bool is_settled() const;

    /// \returns The view of the takeover.
    const view& takeover_view() const { return *takeover_.acquired_in; }

private:
    struct asked_router
    {
        member who;
        bool answered = false;
        std::optional<time_point> asked_at;
    };

    void take_permit(const outstanding_permit& permit);
    void take_account(const owner_account& account);
    void check_answers();

    rebuild_config config_;
    ownership_acquired takeover_;
    std::vector<asked_router> routers_;
    std::map<permit_stamp, message_origin> known_;
    std::set<permit_stamp> returned_; ///< An answer sent before the return may arrive after it.
    bool account_complete_ = false;
    /// Load of the last report less the permits in explained_.
    std::ptrdiff_t unexplained_ = 0;
    std::set<permit_stamp> explained_; ///< Outstanding permits that the last report may show.
    bool complete_ = false;
};

} // namespace endivestage
