#include <endivestage/reachability/endpoint_reach.hpp>

#include <algorithm>
#include <utility>

namespace endivestage
{

std::string_view to_string(reach_state state)
{
    switch (state)
    {
    case reach_state::reached:
        return "reached";
    case reach_state::doubted:
        return "doubted";
    case reach_state::cut_off:
        break;
    }
    return "cut_off";
}

void endpoint_reach::expire(time_point now)
{
    const auto is_old = [&](const std::pair<const endpoint_id, time_point>& loss)
    {
        return now - loss.second > config_.evidence_ttl;
    };
    std::erase_if(failed_, is_old);
    std::erase_if(silent_, is_old);
}

std::size_t endpoint_reach::recent(const losses& lost, time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(lost.begin(), lost.end(),
                      [&](const std::pair<const endpoint_id, time_point>& loss)
                      { return now - loss.second <= config_.evidence_ttl; }));
}

std::size_t endpoint_reach::lost_endpoints(time_point now) const
{
    const auto is_new = [&](const std::pair<const endpoint_id, time_point>& loss)
    {
        return now - loss.second <= config_.evidence_ttl && !failed_.contains(loss.first);
    };
    return recent(failed_, now) +
           static_cast<std::size_t>(std::count_if(silent_.begin(), silent_.end(), is_new));
}

void endpoint_reach::add_loss(losses& lost, const endpoint_id& endpoint, time_point now)
{
    returned_.erase(endpoint);
    if (cut_off_since_)
    {
        return;
    }
    expire(now);
    lost[endpoint] = now;
    // A single endpoint that fails cannot be told from one that is down.
    const std::size_t needed =
        std::max(config_.doubting_endpoints, std::min(config_.cut_off_endpoints, known_endpoints_));
    const bool by_silence = failed_.empty();
    if (known_endpoints_ == 0 || lost_endpoints(now) < needed ||
        (by_silence && now - responded_at_ < config_.min_silence))
    {
        return;
    }
    time_point first = now;
    for (const losses* kind : {&failed_, &silent_})
    {
        for (const auto& [other, at] : *kind)
        {
            first = std::min(first, at);
        }
    }
    cut_off_since_ = first;
    cut_needs_response_ = by_silence || accepted_in_vain_;
    ++cuts_;
    const bool flaps = now - last_cut_at_ <= config_.calm_period;
    stable_period_ =
        flaps ? std::min(stable_period_ * 2, config_.max_stable_period) : config_.min_stable_period;
    last_cut_at_ = now;
    returned_at_.reset();
}

void endpoint_reach::add_return(const endpoint_id& endpoint, time_point now)
{
    // Where one endpoint is left, it counts when it works twice.
    const bool again = !returned_.insert(endpoint).second;
    if (!again && returned_.size() < std::min(config_.returning_endpoints,
                                              std::max<std::size_t>(1, known_endpoints_)))
    {
        return;
    }
    cut_off_since_.reset();
    returned_at_ = now;
    returned_.clear();
    failed_.clear();
    silent_.clear();
    accepted_in_vain_ = false;
    first_check_done_ = false;
    doubt_ended_at_ = now;
}

void endpoint_reach::record_connection(const endpoint_id& endpoint, time_point now)
{
    connected_at_ = now;
    if (cut_off_since_)
    {
        add_return(endpoint, now);
        return;
    }
    failed_.clear();
    accepted_in_vain_ = false;
    if (first_check_done_ && silent_.empty())
    {
        doubt_ended_at_ = now;
        first_check_done_ = false;
    }
}

void endpoint_reach::record_failed_connection(const endpoint_id& endpoint, time_point now)
{
    add_loss(failed_, endpoint, now);
}

void endpoint_reach::record_reset_connection(const endpoint_id& endpoint, time_point now)
{
    accepted_in_vain_ = true;
    add_loss(failed_, endpoint, now);
}

void endpoint_reach::record_response(time_point now)
{
    responded_at_ = now;
    silent_.clear();
    if (first_check_done_ && failed_.empty())
    {
        doubt_ended_at_ = now;
        first_check_done_ = false;
    }
}

void endpoint_reach::record_lost_response(const endpoint_id& endpoint, time_point sent_at,
                                          time_point now)
{
    if (responded_at_ >= sent_at)
    {
        return;
    }
    add_loss(silent_, endpoint, now);
}

void endpoint_reach::end_check(const endpoint_id& endpoint)
{
    checking_.erase(endpoint);
}

bool endpoint_reach::checks_need_response(time_point now) const
{
    return cut_off_since_ ? cut_needs_response_
                          : (accepted_in_vain_ && !failed_.empty()) ||
                                recent(silent_, now) >= config_.doubting_endpoints;
}

std::vector<endpoint_id> endpoint_reach::choose_checks(std::span<const endpoint_id> candidates,
                                                       random_source& random, time_point now)
{
    known_endpoints_ = candidates.size();
    if (!failed_.empty() || !silent_.empty())
    {
        // Endpoints that have left, or that others report meanwhile, are no evidence.
        const std::set<endpoint_id> known(candidates.begin(), candidates.end());
        const auto has_left = [&](const std::pair<const endpoint_id, time_point>& loss)
        {
            return !known.contains(loss.first);
        };
        std::erase_if(failed_, has_left);
        std::erase_if(silent_, has_left);
    }
    const reach_state present = state(now);
    std::vector<endpoint_id> chosen;
    if (present == reach_state::reached)
    {
        first_check_done_ = false;
        known_endpoints_ = 0; // Until the next doubt; endpoints come and go.
        return chosen;
    }
    if (!checking_.empty())
    {
        return chosen;
    }
    if (present == reach_state::cut_off && now - last_check_at_ < config_.check_interval)
    {
        return chosen;
    }
    if (present == reach_state::doubted && !first_check_done_ &&
        now - doubt_ended_at_ < config_.doubt_interval)
    {
        return chosen;
    }
    std::vector<endpoint_id> untried;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(untried),
                 [&](const endpoint_id& endpoint)
                 {
                     return present == reach_state::cut_off ||
                            (!failed_.contains(endpoint) && !silent_.contains(endpoint));
                 });
    const std::size_t most = present == reach_state::doubted && first_check_done_
                                 ? config_.checks
                                 : config_.first_checks;
    while (!untried.empty() && chosen.size() < most)
    {
        const std::size_t n = random.below(untried.size());
        chosen.push_back(untried[n]);
        untried.erase(untried.begin() + static_cast<std::ptrdiff_t>(n));
    }
    checking_.insert(chosen.begin(), chosen.end());
    last_check_at_ = now;
    first_check_done_ = true;
    return chosen;
}

reach_state endpoint_reach::state(time_point now) const
{
    if (cut_off_since_)
    {
        return reach_state::cut_off;
    }
    return lost_endpoints(now) >= config_.doubting_endpoints ? reach_state::doubted
                                                             : reach_state::reached;
}

bool endpoint_reach::is_announced(time_point now) const
{
    return cut_off_since_ || (returned_at_ && now - *returned_at_ < stable_period_);
}

} // namespace endivestage
