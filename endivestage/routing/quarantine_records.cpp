#include <endivestage/routing/quarantine_records.hpp>
#include <endivestage/routing/staggering.hpp>

#include <algorithm>
#include <set>

namespace endivestage
{

void quarantine_records::record_stored(const quarantine_record& record)
{
    std::vector<std::uint64_t>& stored = entries_[record.part].stored;
    stored.clear();
    for (const part_report& crash : record.crashes)
    {
        stored.push_back(crash.event);
    }
}

void quarantine_records::record_erased(std::uint64_t part)
{
    entries_.erase(part);
}

bool quarantine_records::is_due(std::uint64_t part, entry& record, millis delay,
                                std::size_t routers, time_point now) const
{
    record.differs_since = record.differs_since.value_or(now);
    const millis waited = now - *record.differs_since - delay;
    if (waited < millis{0} ||
        (record.written_at && now - *record.written_at < config_.retry_interval))
    {
        return false;
    }
    return may_act(part, self_, routers, waited.count / config_.step.count);
}

std::size_t quarantine_records::count_stored() const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                  [](const std::pair<const std::uint64_t, entry>& e)
                                                  { return !e.second.stored.empty(); }));
}

quarantine_writes quarantine_records::find_due(std::span<const quarantine_record> known,
                                               std::size_t routers, time_point now)
{
    quarantine_writes writes;
    std::size_t stored_count = count_stored();
    std::set<std::uint64_t> known_parts;
    for (const quarantine_record& quarantine : known)
    {
        if (quarantine.crashes.empty())
        {
            continue;
        }
        known_parts.insert(quarantine.part);
        entry& record = entries_[quarantine.part];
        // The latest crash decides how long the part is quarantined.
        const std::uint64_t latest = quarantine.crashes.front().event;
        if (std::find(record.stored.begin(), record.stored.end(), latest) != record.stored.end())
        {
            record.differs_since.reset();
            continue;
        }
        const bool has_room = !record.stored.empty() || stored_count < config_.max_records;
        if (has_room && writes.to_store.size() < config_.max_writes_at_once &&
            is_due(quarantine.part, record, millis{0}, routers, now))
        {
            stored_count += record.stored.empty() ? 1 : 0;
            record.written_at = now;
            writes.to_store.push_back(quarantine);
        }
    }
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        entry& record = it->second;
        if (known_parts.contains(it->first))
        {
            ++it;
            continue;
        }
        if (record.stored.empty())
        {
            it = entries_.erase(it);
            continue;
        }
        if (writes.to_erase.size() < config_.max_writes_at_once &&
            is_due(it->first, record, config_.erase_delay, routers, now))
        {
            record.written_at = now;
            writes.to_erase.push_back(it->first);
        }
        ++it;
    }
    return writes;
}

} // namespace endivestage
