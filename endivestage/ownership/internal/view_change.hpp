/// \file
/// \brief Condition under which a prepared view may become active (rule R3).
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
/// A member of the previous view must be covered, by its own acknowledgement or by those of its
/// witnesses, if it may lose endpoints, and also if its witnesses change. Without the second
/// condition, a router that has not adopted this view could go on to confirm an older view with its
/// old witnesses, while its witnesses in this view let a later change pass.
class view_change
{
public:
    /// \param target The view in state preparing.
    /// \param in_row_at A time at which the view was known to be in the row.
    view_change(const view_pointer& target, time_point in_row_at);

    /// \brief Records that a router has adopted the view, or that its run has ended. An
    /// acknowledgement by a later run counts for all earlier runs, which have ended.
    void record_acknowledgement(const message_origin& from, time_point now);

    /// \param wait Time after which the confirmations of a member have expired.
    /// \returns The earliest time at which the view may become active, by the acknowledgements so
    /// far; nothing while a member is not covered.
    std::optional<time_point> ready_at(millis wait) const;

    /// \returns The routers whose acknowledgements are missing and may still contribute.
    std::vector<member> pending() const;

private:
    struct covered_member
    {
        member router;
        bool may_lose_endpoints = false; ///< If false, only its witnesses change.
        std::vector<member> witnesses;
    };

    std::optional<time_point> acknowledged_at(const member& router) const;
    std::optional<time_point> covered_by_witnesses_at(const covered_member& it) const;

    std::vector<covered_member> members_to_cover_;
    /// Time of the first acknowledgement, by router and incarnation.
    std::map<std::pair<router_id, std::uint64_t>, time_point> acknowledgements_;
    time_point in_row_at_;
};

} // namespace endivestage::internal
