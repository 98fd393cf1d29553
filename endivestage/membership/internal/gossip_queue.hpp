/// \file
/// \brief Selects the gossip items that the next packets carry.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace endivestage::internal
{

/// \brief Keys of gossip items, each sent a bounded number of times; those sent least come first.
class gossip_queue
{
public:
    /// \brief Adds an item; resets the count of transmissions when the key is already queued.
    void add(const std::string& key) { sent_[key] = 0; }

    /// \brief Removes an item.
    void remove(const std::string& key) { sent_.erase(key); }

    /// \returns Keys of at most \p limit items to consider for a packet, those sent least first.
    std::vector<std::string> next_keys(std::size_t limit) const
    {
        using entry = std::pair<std::size_t, const std::string*>;
        std::vector<entry> entries;
        for (const auto& [key, sent] : sent_)
        {
            entries.emplace_back(sent, &key);
        }
        const std::size_t count = std::min(limit, entries.size());
        std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count),
                          entries.end(),
                          [](const entry& a, const entry& b) {
                              return a.first != b.first ? a.first < b.first : *a.second < *b.second;
                          });
        std::vector<std::string> keys;
        for (std::size_t n = 0; n < count; ++n)
        {
            keys.push_back(*entries[n].second);
        }
        return keys;
    }

    /// \brief Counts a transmission of an item and removes it after \p limit transmissions.
    void record_sent(const std::string& key, std::size_t limit)
    {
        const auto it = sent_.find(key);
        if (it != sent_.end() && ++it->second >= limit)
        {
            sent_.erase(it);
        }
    }

private:
    std::map<std::string, std::size_t> sent_;
};

} // namespace endivestage::internal
