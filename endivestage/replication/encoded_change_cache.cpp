#include <endivestage/replication/encoded_change_cache.hpp>

#include <algorithm>

namespace endivestage
{

std::shared_ptr<const encoded_fragment>
encoded_change_cache::changes_since(const table_replica& replica, const table_position& since,
                                    bool settling)
{
    if (replica.generation() != generation_)
    {
        entries_.clear();
        generation_ = replica.generation();
    }
    // All followers behind the history get the same rows.
    const bool whole = !replica.has_history_since(since) && !replica.is_behind(since);
    const table_position from = whole ? table_position{} : since;
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const entry& kept)
                                 { return kept.since == from && kept.settling == settling; });
    if (it != entries_.end())
    {
        return it->encoded;
    }
    std::shared_ptr<const encoded_fragment> encoded = std::make_shared<const encoded_fragment>(
        encoder_.encode(replica.changes_since(since), settling));
    if (entries_.size() >= max_entries_)
    {
        entries_.pop_front();
    }
    entries_.push_back({from, settling, encoded});
    return encoded;
}

} // namespace endivestage
