#include <endivestage/replication/encoded_change_cache.hpp>

#include <algorithm>

namespace endivestage
{

std::shared_ptr<const encoded_fragment>
encoded_change_cache::changes_since(const table_replica& replica, std::uint64_t revision,
                                    bool settling)
{
    if (replica.generation() != generation_)
    {
        entries_.clear();
        generation_ = replica.generation();
    }
    // All followers behind the history get the same rows.
    const std::uint64_t since = replica.has_history_since(revision) ? revision : 0;
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const entry& kept)
                                 { return kept.since == since && kept.settling == settling; });
    if (it != entries_.end())
    {
        return it->encoded;
    }
    std::shared_ptr<const encoded_fragment> encoded = std::make_shared<const encoded_fragment>(
        encoder_.encode(replica.changes_since(revision), settling));
    if (entries_.size() >= max_entries_)
    {
        entries_.pop_front();
    }
    entries_.push_back({since, settling, encoded});
    return encoded;
}

} // namespace endivestage
