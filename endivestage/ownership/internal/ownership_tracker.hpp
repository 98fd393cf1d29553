/// \file
/// \brief The endpoints that a router owns without interruption (rule R4).
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/ownership/messages.hpp>
#include <map>
#include <span>
#include <vector>

namespace endivestage::internal
{

/// \brief Tracks which endpoints this router owns as views and endpoints change.
class ownership_tracker
{
public:
    explicit ownership_tracker(message_origin self) : self_(std::move(self)) {}

    /// \brief Applies a newly adopted view.
    /// \param before The view adopted before; null for the first.
    void on_view(const view_pointer& before, const view_pointer& after, time_point now,
                 view_actions& actions);

    /// \brief Sets the endpoints of the region.
    void set_endpoints(std::span<const endpoint_id> endpoints, const view_pointer& current,
                       time_point now, view_actions& actions);

    /// \returns Whether this router owns the endpoint.
    bool owns(const endpoint_id& endpoint) const;

private:
    void begin_ownership(const endpoint_id& endpoint, const view_pointer& current, time_point now,
                         view_actions& actions);
    bool is_self(const member* owner) const;

    message_origin self_;
    std::map<endpoint_id, bool>
        owned_; ///< All endpoints; true while this router owns the endpoint.
};

} // namespace endivestage::internal
