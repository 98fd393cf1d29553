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
    const std::uint64_t number_increase = before ? after->number - before->number : after->number;
    for (auto& [endpoint, owned] : owned_)
    {
        // A skipped view may have assigned the endpoint to another router for a while. A view lists
        // the members of the view before it, so one skipped view can be checked, but not two.
        const bool owned_between =
            number_increase == 0 || number_increase == 1 ||
            (number_increase == 2 && is_self(owner_of(after->previous, endpoint)));
        const bool owns_after = is_self(owner_of(*after, endpoint));
        if (owned && !(owned_between && owns_after))
        {
            owned = false;
            actions.emplace_back(
                ownership_lost{endpoint, after->number, owned_between && number_increase != 0});
        }
        if (!owned && owns_after && after->state == view_state::active)
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
    if (const member* previous_owner = owner_of(current->previous, endpoint))
    {
        takeover.previous_known = true;
        takeover.previous_owner = {previous_owner->id, previous_owner->incarnation};
    }
    actions.emplace_back(std::move(takeover));
}

void ownership_tracker::set_endpoints(std::span<const endpoint_id> endpoints,
                                      const view_pointer& current, time_point now,
                                      view_actions& actions)
{
    std::map<endpoint_id, bool> owned_before;
    owned_before.swap(owned_);
    for (const endpoint_id& endpoint : endpoints)
    {
        const auto it = owned_before.find(endpoint);
        owned_[endpoint] = it != owned_before.end() && it->second;
        const bool is_active = current && current->state == view_state::active;
        if (it == owned_before.end() && is_active && is_self(owner_of(*current, endpoint)))
        {
            begin_ownership(endpoint, current, now, actions);
        }
        if (it != owned_before.end())
        {
            owned_before.erase(it);
        }
    }
    for (const auto& [endpoint, owned] : owned_before)
    {
        if (owned)
        {
            actions.emplace_back(ownership_lost{endpoint, 0, false});
        }
    }
}

} // namespace endivestage::internal
