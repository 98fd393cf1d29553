#include <endivestage/placement/attempt.hpp>
#include <endivestage/placement/bounded_limit.hpp>

#include <algorithm>
#include <utility>

namespace endivestage
{

placement_attempt::placement_attempt(std::vector<std::size_t> ranked,
                                     const placement_config& config,
                                     const placement_context& context)
    : ranked_(std::move(ranked)),
      config_(config),
      history_tokens_(context.history_tokens),
      asks_whole_pool_(context.pool_size > 0 && context.pool_size <= config.max_whole_pool_size &&
                       ranked_.size() == context.pool_size)
{
}

placement_step placement_attempt::start()
{
    return next_round();
}

placement_step placement_attempt::apply_answers(std::span<const placement_answer> answers)
{
    answers_.insert(answers_.end(), answers.begin(), answers.end());
    if (asks_whole_pool_ && asked_ < ranked_.size() && !has_warm_offer())
    {
        return ask_next(ranked_.size());
    }
    std::vector<placement_offer> offers;
    std::vector<std::size_t> usable;
    std::vector<std::size_t> held;
    for (std::size_t n = 0; n < answers_.size(); ++n)
    {
        if (!answers_[n].offer)
        {
            continue;
        }
        held.push_back(answers_[n].engine);
        if (is_within_bound(*answers_[n].offer))
        {
            offers.push_back(*answers_[n].offer);
            usable.push_back(n);
        }
    }
    const std::optional<std::size_t> chosen = choose_offer(offers, config_);
    if (!chosen)
    {
        for (placement_answer& it : answers_)
        {
            it.offer.reset();
        }
        placement_step step = next_round();
        step.release = std::move(held);
        return step;
    }
    const placement_answer& best = answers_[usable[*chosen]];
    std::erase(held, best.engine);
    return {placement_step::kind::use, {best.engine}, std::move(held), import_source(best)};
}

bool placement_attempt::has_warm_offer() const
{
    return std::any_of(answers_.begin(), answers_.end(),
                       [&](const placement_answer& it)
                       {
                           return it.offer && it.offer->load <= it.offer->limit &&
                                  it.offer->cached_tokens >= history_tokens_ / 2;
                       });
}

bool placement_attempt::is_within_bound(const placement_offer& offer) const
{
    double load = 0.0;
    double capacity = 0.0;
    std::size_t known_states = 0;
    for (const placement_answer& it : answers_)
    {
        if (it.status)
        {
            load += it.status->load;
            capacity += it.status->capacity;
            ++known_states;
        }
    }
    if (!asks_whole_pool_ || known_states < ranked_.size() || capacity <= 0.0)
    {
        return offer.load <= offer.limit;
    }
    // The request adds to the load of the pool once it has started.
    const double expected = std::max(0.0, load + 1.0 - config_.completion_allowance);
    return offer.load <= bounded_limit(config_.multiple, expected / capacity, offer.capacity);
}

std::optional<std::size_t> placement_attempt::import_source(const placement_answer& chosen) const
{
    const std::uint32_t chosen_cached = chosen.offer->cached_tokens;
    std::uint32_t max_cached = chosen_cached;
    std::optional<std::size_t> source;
    for (const placement_answer& it : answers_)
    {
        if (it.status && std::min(history_tokens_, it.status->cached_tokens) > max_cached)
        {
            max_cached = std::min(history_tokens_, it.status->cached_tokens);
            source = it.engine;
        }
    }
    const bool worthwhile = asks_whole_pool_ && config_.min_import_tokens > 0 &&
                            max_cached - chosen_cached >= config_.min_import_tokens;
    return worthwhile ? source : std::nullopt;
}

placement_step placement_attempt::next_round()
{
    if (ranked_.empty())
    {
        return {};
    }
    if (rounds_ == config_.max_rounds || asked_ == ranked_.size())
    {
        const std::size_t count = std::min(config_.max_wait_engines, ranked_.size());
        return {placement_step::kind::wait,
                {ranked_.begin(), ranked_.begin() + static_cast<std::ptrdiff_t>(count)},
                {},
                {}};
    }
    return ask_next(rounds_ == 0 ? config_.first_asked : config_.fallback_asked);
}

placement_step placement_attempt::ask_next(std::size_t count)
{
    const std::size_t end = std::min(ranked_.size(), asked_ + std::max<std::size_t>(1, count));
    placement_step step{placement_step::kind::ask, {}, {}, {}};
    step.engines.assign(ranked_.begin() + static_cast<std::ptrdiff_t>(asked_),
                        ranked_.begin() + static_cast<std::ptrdiff_t>(end));
    asked_ = end;
    ++rounds_;
    return step;
}

} // namespace endivestage
