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

team_queue::team_line& team_queue::line_of(ring& teams, const team_id& team)
{
    auto it = std::find_if(teams.begin(), teams.end(),
                           [&](const team_line& line) { return line.team == team; });
    if (it != teams.end())
    {
        return *it;
    }
    return teams.emplace_back(team_line{team, 0, {}});
}

result<queue_ticket> team_queue::push(const permit_request& request, time_point now)
{
    if (size_ >= config_.max_waiting)
    {
        return make_error_code(errc::overloaded);
    }
    const queue_ticket ticket{++last_ticket_};
    line_of(levels_[request.priority], request.team).requests.push_back({ticket, request, 0, now});
    ++size_;
    return ticket;
}

bool team_queue::renew(queue_ticket ticket, std::uint32_t renewal, time_point now)
{
    for (auto& [priority, teams] : levels_)
    {
        for (team_line& line : teams)
        {
            for (waiting_request& waiting : line.requests)
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
    if (levels_.empty())
    {
        return std::nullopt;
    }
    auto highest = levels_.begin();
    waiting_request next = pop_from(highest->second);
    if (highest->second.empty())
    {
        levels_.erase(highest);
    }
    --size_;
    return next;
}

waiting_request team_queue::pop_from(ring& teams)
{
    assert(!teams.empty());
    team_line& line = teams.front();
    if (line.deficit == 0)
    {
        line.deficit = weight(line.team);
    }
    waiting_request next = std::move(line.requests.front());
    line.requests.pop_front();
    --line.deficit;
    if (line.requests.empty())
    {
        teams.pop_front();
    }
    else if (line.deficit == 0)
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
team_queue::remove_if(const std::function<bool(const waiting_request&)>& unwanted)
{
    std::vector<waiting_request> taken;
    for (auto& [priority, teams] : levels_)
    {
        for (team_line& line : teams)
        {
            auto gone =
                std::stable_partition(line.requests.begin(), line.requests.end(),
                                      [&](const waiting_request& it) { return !unwanted(it); });
            std::move(gone, line.requests.end(), std::back_inserter(taken));
            line.requests.erase(gone, line.requests.end());
        }
        std::erase_if(teams, [](const team_line& line) { return line.requests.empty(); });
    }
    std::erase_if(levels_, [](const auto& level) { return level.second.empty(); });
    size_ -= taken.size();
    return taken;
}

std::size_t team_queue::requests_ahead(const team_id& team, std::uint8_t priority) const
{
    std::size_t ahead = 0;
    for (const auto& [level, teams] : levels_)
    {
        if (level > priority)
        {
            for (const team_line& line : teams)
            {
                ahead += line.requests.size();
            }
        }
        if (level == priority)
        {
            ahead += ahead_in(teams, team);
        }
    }
    return ahead;
}

std::size_t team_queue::ahead_in(const ring& teams, const team_id& team) const
{
    auto own = std::find_if(teams.begin(), teams.end(),
                            [&](const team_line& line) { return line.team == team; });
    const std::size_t before = own == teams.end() ? 0 : own->requests.size();
    const std::size_t rounds = before / weight(team) + 1;
    std::size_t ahead = before;
    for (const team_line& line : teams)
    {
        if (line.team != team)
        {
            ahead += std::min(line.requests.size(), rounds * weight(line.team));
        }
    }
    return ahead;
}

std::size_t team_queue::active_teams() const
{
    std::size_t count = 0;
    for (const auto& [level, teams] : levels_)
    {
        count += teams.size();
    }
    return count;
}

} // namespace endivestage
