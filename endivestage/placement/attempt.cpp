#include <endivestage/placement/attempt.hpp>

#include <algorithm>
#include <utility>

namespace endivestage
{

placement_attempt::placement_attempt(std::vector<std::size_t> ranked,
                                     const placement_policy& policy)
    : ranked_(std::move(ranked)),
      policy_(policy)
{
}

placement_step placement_attempt::start()
{
    return next_round();
}

placement_step placement_attempt::answered(std::span<const placement_answer> answers)
{
    std::vector<placement_offer> offers;
    std::vector<std::size_t> engines;
    for (const placement_answer& it : answers)
    {
        if (it.offer)
        {
            offers.push_back(*it.offer);
            engines.push_back(it.engine);
        }
    }
    const std::optional<std::size_t> chosen = choose_offer(offers, policy_);
    if (!chosen)
    {
        return next_round();
    }
    placement_step step{placement_step::kind::use, {engines[*chosen]}, engines};
    std::erase(step.release, engines[*chosen]);
    return step;
}

placement_step placement_attempt::next_round()
{
    if (ranked_.empty())
    {
        return {};
    }
    if (rounds_ == policy_.rounds || asked_ == ranked_.size())
    {
        const std::size_t count = std::min(policy_.wait_at, ranked_.size());
        return {placement_step::kind::wait,
                {ranked_.begin(), ranked_.begin() + static_cast<std::ptrdiff_t>(count)},
                {}};
    }
    const std::size_t wanted = rounds_ == 0 ? policy_.first_asked : policy_.fallback_asked;
    const std::size_t end = std::min(ranked_.size(), asked_ + std::max<std::size_t>(1, wanted));
    placement_step step{placement_step::kind::ask, {}, {}};
    step.engines.assign(ranked_.begin() + static_cast<std::ptrdiff_t>(asked_),
                        ranked_.begin() + static_cast<std::ptrdiff_t>(end));
    asked_ = end;
    ++rounds_;
    return step;
}

} // namespace endivestage
