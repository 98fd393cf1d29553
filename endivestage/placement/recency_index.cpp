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
    auto it = node_of_chat_.find(chat_key);
    return it == node_of_chat_.end() ? 0 : nodes_[it->second].tokens;
}

void recency_index::put(std::uint64_t chat_key, std::uint32_t tokens)
{
    erase(chat_key);
    if (tokens == 0)
    {
        return;
    }
    const std::uint32_t index = allocate_node();
    nodes_[index].key = chat_key;
    nodes_[index].tokens =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, token_capacity_));
    total_tokens_ += nodes_[index].tokens;
    link_newest(index);
    node_of_chat_.emplace(chat_key, index);
    evict_to_capacity();
}

void recency_index::erase(std::uint64_t chat_key)
{
    auto it = node_of_chat_.find(chat_key);
    if (it != node_of_chat_.end())
    {
        remove_node(it->second);
    }
}

void recency_index::clear()
{
    node_of_chat_.clear();
    free_nodes_.clear();
    nodes_.assign(1, node{});
    total_tokens_ = 0;
}

std::vector<recency_entry> recency_index::entries() const
{
    std::vector<recency_entry> all;
    all.reserve(size());
    for (std::uint32_t index = nodes_[0].newer; index != 0; index = nodes_[index].newer)
    {
        all.push_back({nodes_[index].key, nodes_[index].tokens});
    }
    return all;
}

std::uint32_t recency_index::allocate_node()
{
    if (!free_nodes_.empty())
    {
        const std::uint32_t index = free_nodes_.back();
        free_nodes_.pop_back();
        return index;
    }
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
}

void recency_index::link_newest(std::uint32_t index)
{
    nodes_[index].newer = 0;
    nodes_[index].older = nodes_[0].older;
    nodes_[nodes_[0].older].newer = index;
    nodes_[0].older = index;
}

void recency_index::unlink(std::uint32_t index)
{
    nodes_[nodes_[index].newer].older = nodes_[index].older;
    nodes_[nodes_[index].older].newer = nodes_[index].newer;
}

void recency_index::remove_node(std::uint32_t index)
{
    unlink(index);
    total_tokens_ -= nodes_[index].tokens;
    node_of_chat_.erase(nodes_[index].key);
    free_nodes_.push_back(index);
}

void recency_index::evict_to_capacity()
{
    while (total_tokens_ > token_capacity_)
    {
        remove_node(nodes_[0].newer);
    }
}

} // namespace endivestage
