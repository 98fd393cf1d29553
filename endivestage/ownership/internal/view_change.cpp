#include <endivestage/ownership/internal/view_change.hpp>

#include <algorithm>
#include <endivestage/ownership/owner.hpp>

namespace endivestage::internal
{

namespace
{

bool owns_engines(std::span<const member> members, const router_id& id)
{
    const member* who = find_member(members, id);
    return who != nullptr && !who->leaving;
}

// An added router takes engines from every other; the engines themselves need not be known.
bool adds_owner(const view& target)
{
    return std::any_of(target.members.begin(), target.members.end(),
                       [&](const member& who)
                       { return !who.leaving && !owns_engines(target.previous, who.id); });
}

bool loses_engines(const view& target, const member& who)
{
    const member* after = find_member(target.members, who.id);
    return after == nullptr || !same_run(*after, who) || after->leaving || adds_owner(target);
}

bool same_runs(const std::vector<member>& a, const std::vector<member>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same_run);
}

} // namespace

view_change::view_change(const view_pointer& target, time_point in_row_at) : in_row_at_(in_row_at)
{
    for (const member& who : target->previous)
    {
        if (who.leaving)
        {
            continue; // Lost its engines in an earlier change.
        }
        std::vector<member> witnesses = witnesses_of(target->previous, who.id);
        const bool loses = loses_engines(*target, who);
        if (loses || !same_runs(witnesses, witnesses_of(*target, who.id)))
        {
            to_cover_.push_back({who, loses, std::move(witnesses)});
        }
    }
}

void view_change::record_acknowledgement(const message_origin& from, time_point now)
{
    learned_.emplace(std::pair(from.id, from.incarnation), now);
}

std::optional<time_point> view_change::acknowledged_at(const member& who) const
{
    const auto it = learned_.lower_bound({who.id, who.incarnation});
    if (it == learned_.end() || it->first.first != who.id)
    {
        return std::nullopt;
    }
    return it->second;
}

std::optional<time_point> view_change::covered_by_witnesses_at(const covered_member& it) const
{
    std::vector<time_point> learned;
    for (const member& witness : it.witnesses)
    {
        if (const std::optional<time_point> at = acknowledged_at(witness))
        {
            learned.push_back(*at);
        }
    }
    // So many that the others are no majority. For an even number this is one less than a
    // majority: of two witnesses one is enough, so that three routers survive the loss of two.
    const std::size_t needed = it.witnesses.size() - it.witnesses.size() / 2;
    if (learned.size() < needed)
    {
        return std::nullopt;
    }
    std::sort(learned.begin(), learned.end());
    return needed == 0 ? in_row_at_ : learned[needed - 1];
}

std::optional<time_point> view_change::ready_at(millis wait) const
{
    time_point ready = in_row_at_;
    for (const covered_member& it : to_cover_)
    {
        if (acknowledged_at(it.who))
        {
            continue;
        }
        const std::optional<time_point> covered = covered_by_witnesses_at(it);
        if (!covered)
        {
            return std::nullopt;
        }
        if (it.loses)
        {
            ready = std::max(ready, std::max(*covered, in_row_at_) + wait);
        }
    }
    return ready;
}

std::vector<member> view_change::pending() const
{
    std::map<router_id, member> result;
    for (const covered_member& it : to_cover_)
    {
        if (acknowledged_at(it.who))
        {
            continue;
        }
        result.emplace(it.who.id, it.who);
        for (const member& witness : it.witnesses)
        {
            if (!acknowledged_at(witness))
            {
                result.emplace(witness.id, witness);
            }
        }
    }
    std::vector<member> members;
    members.reserve(result.size());
    for (const auto& [id, who] : result)
    {
        members.push_back(who);
    }
    return members;
}

} // namespace endivestage::internal
