#include <endivestage/replication/era_transition.hpp>

namespace endivestage
{

void era_transition::expire(time_point now)
{
    std::erase_if(deleted_at_, [&](const std::pair<const std::string, time_point>& entry)
                  { return now - entry.second >= deletion_memory; });
}

void era_transition::record_changes(std::span<const replicated_row> rows, time_point now)
{
    expire(now);
    for (const replicated_row& row : rows)
    {
        deferred_.erase(row.key);
        if (row.deleted)
        {
            deleted_at_[row.key] = now;
        }
        else
        {
            deleted_at_.erase(row.key);
        }
    }
}

std::vector<replicated_row> era_transition::enter(std::span<const replicated_row> rows,
                                                  time_point now, time_point rewritten_by)
{
    expire(now);
    std::vector<replicated_row> believed;
    for (const replicated_row& row : rows)
    {
        deferred_.erase(row.key);
        const bool returned = !row.deleted && deleted_at_.contains(row.key);
        if (row.deleted && policy_.keeps_missing && now < rewritten_by)
        {
            defer(row, rewritten_by);
        }
        else if (returned && policy_.returned_period > millis{0})
        {
            defer(row, now + policy_.returned_period);
        }
        else
        {
            believed.push_back(row);
            if (row.deleted)
            {
                deleted_at_[row.key] = now;
            }
        }
    }
    return believed;
}

std::vector<replicated_row> era_transition::take_due(time_point now)
{
    std::vector<replicated_row> due;
    for (auto it = deferred_.begin(); it != deferred_.end();)
    {
        if (now < it->second.until)
        {
            ++it;
            continue;
        }
        due.push_back(it->second.row);
        it = deferred_.erase(it);
    }
    record_changes(due, now);
    return due;
}

} // namespace endivestage
