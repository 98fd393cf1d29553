#include <endivestage/ownership/internal/view_change.hpp>

#include <algorithm>
#include <endivestage/ownership/owner.hpp>

namespace endivestage::internal
{

namespace
{

bool owns_endpoints(std::span<const member> members, const router_id& id)
{
    const member* router = find_member(members, id);
    return router != nullptr && !router->leaving;
}

// An added router counts as one that takes endpoints from every other router, so that the endpoints
// need not be known.
bool adds_owner(const view& target)
{
    return std::any_of(target.members.begin(), target.members.end(),
                       [&](const member& router)
                       { return !router.leaving && !owns_endpoints(target.previous, router.id); });
}

bool may_lose_endpoints(const view& target, const member& router)
{
    const member* after = find_member(target.members, router.id);
    return after == nullptr || !same_run(*after, router) || after->leaving || adds_owner(target);
}

bool same_runs(const std::vector<member>& a, const std::vector<member>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same_run);
}

} // namespace

view_change::view_change(const view_pointer& target, time_point in_row_at) : in_row_at_(in_row_at)
{
    for (const member& router : target->previous)
    {
        if (router.leaving)
        {
            continue; // It lost its endpoints in an earlier change.
        }
        std::vector<member> witnesses = witnesses_of(target->previous, router.id);
        const bool may_lose = may_lose_endpoints(*target, router);
        if (may_lose || !same_runs(witnesses, witnesses_of(*target, router.id)))
        {
            members_to_cover_.push_back({router, may_lose, std::move(witnesses)});
        }
    }
}

void view_change::record_acknowledgement(const message_origin& from, time_point now)
{
    acknowledgements_.emplace(std::pair(from.id, from.incarnation), now);
}

std::optional<time_point> view_change::acknowledged_at(const member& router) const
{
    const auto it = acknowledgements_.lower_bound({router.id, router.incarnation});
    if (it == acknowledgements_.end() || it->first.first != router.id)
    {
        return std::nullopt;
    }
    return it->second;
}

std::optional<time_point> view_change::covered_by_witnesses_at(const covered_member& it) const
{
    std::vector<time_point> acknowledged;
    for (const member& witness : it.witnesses)
    {
        if (const std::optional<time_point> time = acknowledged_at(witness))
        {
            acknowledged.push_back(*time);
        }
    }
    // Enough witnesses that the remaining ones are not a majority. For an even number this is one
    // less than a majority: one of two witnesses suffices, so that a region of three routers
    // survives the loss of two.
    const std::size_t needed = it.witnesses.size() - it.witnesses.size() / 2;
    if (acknowledged.size() < needed)
    {
        return std::nullopt;
    }
    std::sort(acknowledged.begin(), acknowledged.end());
    return needed == 0 ? in_row_at_ : acknowledged[needed - 1];
}

std::optional<time_point> view_change::ready_at(millis wait) const
{
    time_point ready = in_row_at_;
    for (const covered_member& it : members_to_cover_)
    {
        if (acknowledged_at(it.router))
        {
            continue;
        }
        const std::optional<time_point> covered = covered_by_witnesses_at(it);
        if (!covered)
        {
            return std::nullopt;
        }
        if (it.may_lose_endpoints)
        {
            ready = std::max(ready, std::max(*covered, in_row_at_) + wait);
        }
    }
    return ready;
}

std::vector<member> view_change::pending() const
{
    std::map<router_id, member> missing;
    for (const covered_member& it : members_to_cover_)
    {
        if (acknowledged_at(it.router))
        {
            continue;
        }
        missing.emplace(it.router.id, it.router);
        for (const member& witness : it.witnesses)
        {
            if (!acknowledged_at(witness))
            {
                missing.emplace(witness.id, witness);
            }
        }
    }
    std::vector<member> members;
    members.reserve(missing.size());
    for (const auto& [id, router] : missing)
    {
        members.push_back(router);
    }
    return members;
}

} // namespace endivestage::internal
