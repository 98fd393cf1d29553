#include <endivestage/placement/candidates.hpp>
#include <endivestage/placement/internal/rendezvous_order.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

namespace
{

using ordered_engine = std::pair<std::uint64_t, std::uint32_t>; // Sort key and position.

bool ranks_before(const ordered_engine& left, const ordered_engine& right)
{
    return left.first != right.first ? left.first > right.first : left.second < right.second;
}

// Inserts the entry into the ordered list of the best \p limit engines. For the few ranks that are
// needed this is faster than a heap.
void insert_best(std::vector<ordered_engine>& best, const ordered_engine& entry, std::size_t limit)
{
    if (best.size() == limit)
    {
        if (!ranks_before(entry, best.back()))
        {
            return;
        }
        best.pop_back();
    }
    best.insert(std::upper_bound(best.begin(), best.end(), entry, ranks_before), entry);
}

} // namespace

candidate_ranking::candidate_ranking(std::span<const pool_engine> engines)
    : engines_(engines.begin(), engines.end())
{
    rebuild();
}

void candidate_ranking::set_usable(std::size_t position, bool usable)
{
    assert(position < engines_.size());
    if (engines_[position].usable != usable)
    {
        engines_[position].usable = usable;
        rebuild();
    }
}

void candidate_ranking::rebuild()
{
    classes_.clear();
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (!engines_[n].usable)
        {
            continue;
        }
        assert(engines_[n].capacity > 0.0);
        auto it = std::find_if(classes_.begin(), classes_.end(),
                               [&](const weight_class& group)
                               { return group.capacity == engines_[n].capacity; });
        weight_class& group = it != classes_.end() ? *it : classes_.emplace_back();
        group.capacity = engines_[n].capacity;
        group.hashes.push_back(engines_[n].hash);
        group.positions.push_back(static_cast<std::uint32_t>(n));
    }
}

std::vector<std::size_t> candidate_ranking::best(std::uint64_t chat_key, std::size_t limit,
                                                 const std::uint32_t* excluded_zone) const
{
    std::vector<std::pair<double, std::size_t>> scored;
    for (const weight_class& group : classes_)
    {
        std::vector<ordered_engine> top;
        top.reserve(limit + 1);
        for (std::size_t n = 0; n < group.hashes.size(); ++n)
        {
            const std::uint32_t position = group.positions[n];
            if (excluded_zone == nullptr || engines_[position].zone != *excluded_zone)
            {
                insert_best(top, {internal::rendezvous_order(chat_key, group.hashes[n]), position},
                            limit);
            }
        }
        for (const ordered_engine& it : top)
        {
            scored.emplace_back(
                -rendezvous_score(chat_key, engines_[it.second].hash, group.capacity), it.second);
        }
    }
    std::sort(scored.begin(), scored.end());
    scored.resize(std::min(limit, scored.size()));
    std::vector<std::size_t> ranked;
    ranked.reserve(scored.size());
    for (const auto& [score, position] : scored)
    {
        ranked.push_back(position);
    }
    return ranked;
}

std::size_t candidate_ranking::usable_count() const
{
    std::size_t count = 0;
    for (const weight_class& it : classes_)
    {
        count += it.positions.size();
    }
    return count;
}

std::vector<std::size_t> candidate_ranking::candidates(std::uint64_t chat_key,
                                                       std::size_t limit) const
{
    std::vector<std::size_t> ranked =
        limit == 0 ? std::vector<std::size_t>() : best(chat_key, limit, nullptr);
    if (ranked.size() >= 2)
    {
        move_other_zone_second(ranked, chat_key);
    }
    return ranked;
}

void candidate_ranking::move_other_zone_second(std::vector<std::size_t>& ranked,
                                               std::uint64_t chat_key) const
{
    const std::uint32_t zone = engines_[ranked.front()].zone;
    auto other = std::find_if(ranked.begin() + 1, ranked.end(),
                              [&](std::size_t n) { return engines_[n].zone != zone; });
    if (other != ranked.end())
    {
        std::rotate(ranked.begin() + 1, other, other + 1);
        return;
    }
    const std::vector<std::size_t> in_other_zone = best(chat_key, 1, &zone);
    if (!in_other_zone.empty())
    {
        ranked.pop_back();
        ranked.insert(ranked.begin() + 1, in_other_zone.front());
    }
}

std::uint64_t chat_key(const chat_id& chat)
{
    return hash64(chat.view());
}

} // namespace endivestage
