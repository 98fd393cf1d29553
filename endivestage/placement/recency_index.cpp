#include <endivestage/placement/recency_index.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

recency_index::recency_index(std::uint64_t token_capacity)
    : token_capacity_(token_capacity),
      nodes_(1)
{
    assert(token_capacity > 0);
}

std::uint32_t recency_index::cached_tokens(std::uint64_t chat_key) const
{
    auto it = slots_.find(chat_key);
    return it == slots_.end() ? 0 : nodes_[it->second].tokens;
}

void recency_index::put(std::uint64_t chat_key, std::uint32_t tokens)
{
    erase(chat_key);
    if (tokens == 0)
    {
        return;
    }
    const std::uint32_t at = take_node();
    nodes_[at].key = chat_key;
    nodes_[at].tokens =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, token_capacity_));
    total_tokens_ += nodes_[at].tokens;
    link_newest(at);
    slots_.emplace(chat_key, at);
    evict_to_capacity();
}

void recency_index::erase(std::uint64_t chat_key)
{
    auto it = slots_.find(chat_key);
    if (it != slots_.end())
    {
        drop(it->second);
    }
}

void recency_index::clear()
{
    slots_.clear();
    free_.clear();
    nodes_.assign(1, node{});
    total_tokens_ = 0;
}

std::vector<recency_entry> recency_index::entries() const
{
    std::vector<recency_entry> all;
    all.reserve(size());
    for (std::uint32_t at = nodes_[0].newer; at != 0; at = nodes_[at].newer)
    {
        all.push_back({nodes_[at].key, nodes_[at].tokens});
    }
    return all;
}

std::uint32_t recency_index::take_node()
{
    if (!free_.empty())
    {
        const std::uint32_t at = free_.back();
        free_.pop_back();
        return at;
    }
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
}

void recency_index::link_newest(std::uint32_t at)
{
    nodes_[at].newer = 0;
    nodes_[at].older = nodes_[0].older;
    nodes_[nodes_[0].older].newer = at;
    nodes_[0].older = at;
}

void recency_index::unlink(std::uint32_t at)
{
    nodes_[nodes_[at].newer].older = nodes_[at].older;
    nodes_[nodes_[at].older].newer = nodes_[at].newer;
}

void recency_index::drop(std::uint32_t at)
{
    unlink(at);
    total_tokens_ -= nodes_[at].tokens;
    slots_.erase(nodes_[at].key);
    free_.push_back(at);
}

void recency_index::evict_to_capacity()
{
    while (total_tokens_ > token_capacity_)
    {
        drop(nodes_[0].newer);
    }
}

} // namespace endivestage
