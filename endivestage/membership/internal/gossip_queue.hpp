/// \file
/// \brief Which items of news the next packets carry.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace endivestage::internal
{

/// \brief News named by a key, each to be sent a bounded number of times, the least sent first.
class gossip_queue
{
public:
    /// \brief Adds news, or starts anew with news that replaces older news of the same key.
    void add(const std::string& key) { sent_[key] = 0; }

    /// \brief Drops news.
    void remove(const std::string& key) { sent_.erase(key); }

    /// \returns Keys of the news to consider for a packet, the least sent first.
    std::vector<std::string> order(std::size_t limit) const
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

    /// \brief Counts a transmission and drops news that was sent \p limit times.
    void note_sent(const std::string& key, std::size_t limit)
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
