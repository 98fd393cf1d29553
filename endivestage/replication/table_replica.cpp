#include <endivestage/replication/table_replica.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace endivestage
{

bool table_replica::apply_row(const replicated_row& row)
{
    const auto it = rows_.find(row.key);
    if (row.deleted)
    {
        if (it == rows_.end() || it->second.revision > row.revision)
        {
            return false;
        }
        rows_.erase(it);
    }
    else
    {
        if (it != rows_.end() && it->second.revision >= row.revision)
        {
            return false;
        }
        rows_[row.key] = row;
    }
    log_.push_back({row.key, row.revision, row.deleted});
    return true;
}

bool table_replica::is_newest(const change& entry) const
{
    // A deletion stays in the history when the row was written again, since the later row may
    // describe something else under the same key.
    const replicated_row* row = find(entry.key);
    return entry.deleted || (row != nullptr && row->revision == entry.revision);
}

std::vector<replicated_row> table_replica::apply(const change_batch& batch)
{
    std::vector<replicated_row> changed;
    if (position_ && batch.era > position_->era)
    {
        return batch.complete ? replace(batch) : changed;
    }
    if (position_ && batch.position() < *position_)
    {
        return changed;
    }
    const bool first = !position_;
    for (const replicated_row& row : batch.rows)
    {
        if (apply_row(row))
        {
            changed.push_back(row);
        }
    }
    if (batch.complete)
    {
        std::set<std::string_view> present;
        for (const replicated_row& row : batch.rows)
        {
            present.insert(row.key);
        }
        std::vector<replicated_row> missing;
        for (auto it = rows_.begin(); it != rows_.end(); ++it)
        {
            if (!present.contains(it->first))
            {
                missing.push_back({it->first, {}, batch.revision, true});
            }
        }
        for (const replicated_row& row : missing)
        {
            apply_row(row);
            changed.push_back(row);
        }
    }
    std::erase_if(changed,
                  [this](const replicated_row& row) {
                      return !is_newest({row.key, row.revision, row.deleted});
                  });
    if (!changed.empty() || position_ != batch.position())
    {
        ++generation_;
    }
    position_ = batch.position();
    if (first)
    {
        log_.clear();
        history_start_ = batch.revision;
    }
    while (log_.size() > max_history_)
    {
        history_start_ = std::max(history_start_, log_.front().revision);
        log_.pop_front();
    }
    return changed;
}

std::vector<replicated_row> table_replica::replace(const change_batch& batch)
{
    const std::map<std::string, replicated_row, std::less<>> earlier = std::exchange(rows_, {});
    std::vector<replicated_row> changed;
    for (const replicated_row& row : batch.rows)
    {
        if (!row.deleted)
        {
            rows_[row.key] = row;
            changed.push_back(row);
        }
    }
    for (auto it = earlier.begin(); it != earlier.end(); ++it)
    {
        if (!rows_.contains(it->first))
        {
            changed.push_back({it->first, {}, batch.revision, true});
        }
    }
    log_.clear();
    history_start_ = batch.revision;
    position_ = batch.position();
    ++generation_;
    return changed;
}

change_batch table_replica::changes_since(const table_position& since) const
{
    change_batch batch;
    batch.revision = revision().value_or(0);
    batch.era = era();
    if (is_behind(since))
    {
        return batch;
    }
    if (!has_history_since(since))
    {
        batch.complete = true;
        batch.rows = rows();
        return batch;
    }
    for (const change& entry : log_)
    {
        if (entry.revision > since.revision && is_newest(entry))
        {
            batch.rows.push_back(entry.deleted ? replicated_row{entry.key, {}, entry.revision, true}
                                               : *find(entry.key));
        }
    }
    return batch;
}

bool table_replica::has_changes_since(const table_position& since) const
{
    if (is_behind(since))
    {
        return false;
    }
    return !has_history_since(since) ||
           std::any_of(log_.begin(), log_.end(),
                       [&](const change& entry)
                       { return entry.revision > since.revision && is_newest(entry); });
}

const replicated_row* table_replica::find(std::string_view key) const
{
    const auto it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
}

std::vector<replicated_row> table_replica::rows() const
{
    std::vector<replicated_row> all;
    all.reserve(rows_.size());
    for (auto it = rows_.begin(); it != rows_.end(); ++it)
    {
        all.push_back(it->second);
    }
    return all;
}

} // namespace endivestage
