/// \file
/// \brief Which chats an engine probably has in its prefix cache.
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

/// \brief Estimate of one engine's prefix cache: chat to cached tokens, least recently used out
/// first.
///
/// The sum of tokens stays within the engine's token capacity. The estimate may be wrong; it is a
/// hint for placement only.
class recency_index
{
public:
    /// \param token_capacity Tokens that the engine's cache holds.
    explicit recency_index(std::uint64_t token_capacity);

    /// \returns Cached tokens of the chat, 0 when unknown. Does not count as use.
    std::uint32_t cached_tokens(std::uint64_t chat_key) const;

    /// \brief Records that the engine now holds \p tokens of the chat and makes it most recent.
    ///
    /// A chat longer than the whole capacity is recorded with the capacity.
    void put(std::uint64_t chat_key, std::uint32_t tokens);

    /// \brief Forgets a chat, after a cache event said that it was evicted.
    void erase(std::uint64_t chat_key);

    /// \brief Forgets all chats: the engine has a new incarnation or lost its cache.
    void clear();

    /// \returns All chats held, least recently used first, so that put() in this order on another
    /// index restores it.
    std::vector<recency_entry> entries() const;

    /// \returns Number of chats held.
    std::size_t size() const { return slots_.size(); }

    /// \returns Sum of the tokens of all chats held; never above the capacity.
    std::uint64_t total_tokens() const { return total_tokens_; }

private:
    struct node
    {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
        std::uint32_t newer = 0;
        std::uint32_t older = 0;
    };

    std::uint32_t take_node();
    void link_newest(std::uint32_t at);
    void unlink(std::uint32_t at);
    void drop(std::uint32_t at);
    void evict_to_capacity();

    std::uint64_t token_capacity_;
    std::uint64_t total_tokens_ = 0;
    std::vector<node> nodes_; // Node 0 is the ring's sentinel.
    std::vector<std::uint32_t> free_;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> slots_;
};

} // namespace endivestage
