#include <endivestage/admission/team_queue.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

std::uint32_t team_queue::weight(const team_id& team) const
{
    auto it = config_.weights.find(team);
    return it == config_.weights.end() ? 1U : std::max(1U, it->second);
}

team_queue::team_backlog& team_queue::backlog_of(ring& teams, const team_id& team)
{
    auto it = std::find_if(teams.begin(), teams.end(),
                           [&](const team_backlog& backlog) { return backlog.team == team; });
    if (it != teams.end())
    {
        return *it;
    }
    return teams.emplace_back(team_backlog{team, 0, {}});
}

result<queue_ticket> team_queue::push(const permit_request& request, time_point now)
{
    if (size_ >= config_.max_waiting)
    {
        return make_error_code(errc::overloaded);
    }
    const queue_ticket ticket{++last_ticket_};
    backlog_of(priority_levels_[request.priority], request.team)
        .requests.push_back({ticket, request, 0, now});
    ++size_;
    return ticket;
}

bool team_queue::renew(queue_ticket ticket, std::uint32_t renewal, time_point now)
{
    for (auto& [priority, teams] : priority_levels_)
    {
        for (team_backlog& backlog : teams)
        {
            for (waiting_request& waiting : backlog.requests)
            {
                if (waiting.ticket == ticket)
                {
                    waiting.renewal = std::max(waiting.renewal, renewal);
                    waiting.renewed_at = now;
                    return true;
                }
            }
        }
    }
    return false;
}

std::optional<waiting_request> team_queue::pop()
{
    if (priority_levels_.empty())
    {
        return std::nullopt;
    }
    auto highest = priority_levels_.begin();
    waiting_request next = pop_from(highest->second);
    if (highest->second.empty())
    {
        priority_levels_.erase(highest);
    }
    --size_;
    return next;
}

waiting_request team_queue::pop_from(ring& teams)
{
    assert(!teams.empty());
    team_backlog& backlog = teams.front();
    if (backlog.deficit == 0)
    {
        backlog.deficit = weight(backlog.team);
    }
    waiting_request next = std::move(backlog.requests.front());
    backlog.requests.pop_front();
    --backlog.deficit;
    if (backlog.requests.empty())
    {
        teams.pop_front();
    }
    else if (backlog.deficit == 0)
    {
        teams.push_back(std::move(teams.front()));
        teams.pop_front();
    }
    return next;
}

bool team_queue::cancel(queue_ticket ticket)
{
    return !remove_if([&](const waiting_request& it) { return it.ticket == ticket; }).empty();
}

std::vector<waiting_request>
team_queue::remove_if(const std::function<bool(const waiting_request&)>& predicate)
{
    std::vector<waiting_request> removed;
    for (auto& [priority, teams] : priority_levels_)
    {
        for (team_backlog& backlog : teams)
        {
            auto first_removed =
                std::stable_partition(backlog.requests.begin(), backlog.requests.end(),
                                      [&](const waiting_request& it) { return !predicate(it); });
            std::move(first_removed, backlog.requests.end(), std::back_inserter(removed));
            backlog.requests.erase(first_removed, backlog.requests.end());
        }
        std::erase_if(teams, [](const team_backlog& backlog) { return backlog.requests.empty(); });
    }
    std::erase_if(priority_levels_, [](const auto& level) { return level.second.empty(); });
    size_ -= removed.size();
    return removed;
}

std::size_t team_queue::requests_ahead(const team_id& team, std::uint8_t priority) const
{
    std::size_t ahead = 0;
    for (const auto& [level, teams] : priority_levels_)
    {
        if (level > priority)
        {
            for (const team_backlog& backlog : teams)
            {
                ahead += backlog.requests.size();
            }
        }
        if (level == priority)
        {
            ahead += requests_ahead_in(teams, team);
        }
    }
    return ahead;
}

std::size_t team_queue::requests_ahead_in(const ring& teams, const team_id& team) const
{
    auto own = std::find_if(teams.begin(), teams.end(),
                            [&](const team_backlog& backlog) { return backlog.team == team; });
    const std::size_t before = own == teams.end() ? 0 : own->requests.size();
    const std::size_t rounds = before / weight(team) + 1;
    std::size_t ahead = before;
    for (const team_backlog& backlog : teams)
    {
        if (backlog.team != team)
        {
            ahead += std::min(backlog.requests.size(), rounds * weight(backlog.team));
        }
    }
    return ahead;
}

std::size_t team_queue::active_teams() const
{
    std::size_t count = 0;
    for (const auto& [level, teams] : priority_levels_)
    {
        count += teams.size();
    }
    return count;
}

} // namespace endivestage
