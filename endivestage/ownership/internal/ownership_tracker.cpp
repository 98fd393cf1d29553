#include <endivestage/ownership/internal/ownership_tracker.hpp>

#include <endivestage/ownership/owner.hpp>

namespace endivestage::internal
{

bool ownership_tracker::is_self(const member* owner) const
{
    return owner != nullptr && owner->id == self_.id && owner->incarnation == self_.incarnation;
}

bool ownership_tracker::owns(const endpoint_id& endpoint) const
{
    const auto it = owned_.find(endpoint);
    return it != owned_.end() && it->second;
}

void ownership_tracker::on_view(const view_pointer& before, const view_pointer& after,
                                time_point now, view_actions& actions)
{
    const std::uint64_t step = before ? after->number - before->number : after->number;
    for (auto& [endpoint, owned] : owned_)
    {
        // A skipped view may have given the engine to another router for a while. The row tells
        // the members of one view back, so one skipped view can be checked and two cannot.
        const bool between =
            step == 0 || step == 1 || (step == 2 && is_self(owner_of(after->previous, endpoint)));
        const bool after_too = is_self(owner_of(*after, endpoint));
        if (owned && !(between && after_too))
        {
            owned = false;
            actions.emplace_back(ownership_lost{endpoint, after->number, between && step != 0});
        }
        if (!owned && after_too && after->state == view_state::active)
        {
            begin_ownership(endpoint, after, now, actions);
        }
    }
}

void ownership_tracker::begin_ownership(const endpoint_id& endpoint, const view_pointer& current,
                                        time_point now, view_actions& actions)
{
    owned_[endpoint] = true;
    ownership_acquired takeover{endpoint, current, now, current->previous.empty(), {}};
    if (const member* previous = owner_of(current->previous, endpoint))
    {
        takeover.previous_known = true;
        takeover.previous_owner = {previous->id, previous->incarnation};
    }
    actions.emplace_back(std::move(takeover));
}

void ownership_tracker::set_endpoints(std::span<const endpoint_id> endpoints,
                                      const view_pointer& current, time_point now,
                                      view_actions& actions)
{
    std::map<endpoint_id, bool> before;
    before.swap(owned_);
    for (const endpoint_id& endpoint : endpoints)
    {
        const auto it = before.find(endpoint);
        owned_[endpoint] = it != before.end() && it->second;
        const bool may_begin = current && current->state == view_state::active;
        if (it == before.end() && may_begin && is_self(owner_of(*current, endpoint)))
        {
            begin_ownership(endpoint, current, now, actions);
        }
        if (it != before.end())
        {
            before.erase(it);
        }
    }
    for (const auto& [endpoint, owned] : before)
    {
        if (owned)
        {
            actions.emplace_back(ownership_lost{endpoint, 0, false});
        }
    }
}

} // namespace endivestage::internal
