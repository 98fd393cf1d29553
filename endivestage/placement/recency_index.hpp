/// \file
/// \brief Estimate of the chats in an engine's prefix cache.
#pragma once

#include <endivestage/core.hpp>

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace endivestage
{

/// \brief A chat in an engine's prefix cache.
struct recency_entry
{
    std::uint64_t chat_key = 0;
    std::uint32_t tokens = 0;
};

/// \brief Estimates the prefix cache of one engine: the cached tokens of each chat, with eviction
/// of the least recently used chats.
///
/// The sum of tokens stays within the engine's token capacity. The estimate may be wrong and serves
/// only as a hint for placement.
class recency_index
{
public:
    /// \param token_capacity Capacity of the engine's cache in tokens; positive.
    explicit recency_index(std::uint64_t token_capacity);

    /// \returns Cached tokens of the chat, 0 when it is not in the index. Does not count as a use
    /// of the chat.
    std::uint32_t cached_tokens(std::uint64_t chat_key) const;

    /// \brief Records that the engine has \p tokens of the chat cached, and marks the chat as the
    /// most recently used.
    ///
    /// A chat longer than the capacity is recorded with as many tokens as the capacity. With 0
    /// tokens the chat is removed.
    void put(std::uint64_t chat_key, std::uint32_t tokens);

    /// \brief Removes a chat, after a cache event reported its eviction.
    void erase(std::uint64_t chat_key);

    /// \brief Removes all chats, after the engine restarted or lost its cache.
    void clear();

    /// \returns All chats, least recently used first. Calls of put() in this order restore the
    /// index.
    std::vector<recency_entry> entries() const;

    /// \returns Number of chats.
    std::size_t size() const { return node_of_chat_.size(); }

    /// \returns Sum of the cached tokens of all chats; at most the capacity.
    std::uint64_t total_tokens() const { return total_tokens_; }

private:
    struct node
    {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
        std::uint32_t newer = 0;
        std::uint32_t older = 0;
    };

    std::uint32_t allocate_node();
    void link_newest(std::uint32_t index);
    void unlink(std::uint32_t index);
    void remove_node(std::uint32_t index);
    void evict_to_capacity();

    std::uint64_t token_capacity_;
    std::uint64_t total_tokens_ = 0;
    std::vector<node> nodes_; // Circular list in order of use; node 0 is its sentinel.
    std::vector<std::uint32_t> free_nodes_;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> node_of_chat_;
};

} // namespace endivestage
