/// \file
/// \brief When a prepared view may become active (rule R3).
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/ownership/messages.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace endivestage::internal
{

/// \brief Collects acknowledgements of a view that is being prepared.
///
/// A member of the old view must be covered, by its own acknowledgement or by its witnesses', if
/// it may lose engines, and also if its witnesses change. Without the second condition a router
/// that has not learned this view could go on to confirm an older one with its old witnesses
/// while its witnesses of this view let a later change pass.
class view_change
{
public:
    /// \param target The view in state preparing.
    /// \param in_row_at An instant at which the view was known to be in the row.
    view_change(const view_pointer& target, time_point in_row_at);

    /// \brief A router has learned the view, or its run has ended. A later run's acknowledgement
    /// counts for all earlier runs, which have ended.
    void record_acknowledgement(const message_origin& from, time_point now);

    /// \returns When the view may become active, as far as is known; nothing while members are
    /// not covered.
    std::optional<time_point> ready_at(millis wait) const;

    /// \returns The routers whose acknowledgements may still matter.
    std::vector<member> pending() const;

private:
    struct covered_member
    {
        member who;
        bool loses = false; ///< Otherwise only its witnesses change.
        std::vector<member> witnesses;
    };

    std::optional<time_point> acknowledged_at(const member& who) const;
    std::optional<time_point> covered_by_witnesses_at(const covered_member& it) const;

    std::vector<covered_member> to_cover_;
    std::map<std::pair<router_id, std::uint64_t>, time_point> learned_;
    time_point in_row_at_;
};

} // namespace endivestage::internal
