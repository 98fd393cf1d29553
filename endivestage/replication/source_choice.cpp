#include <endivestage/replication/source_choice.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// \returns The first \p count candidates in an order that is the same on all routers: larger hosts
/// first, and hosts of one size by a hash.
std::vector<router_id> rank_relays(std::vector<relay_candidate> candidates, std::size_t count)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const relay_candidate& a, const relay_candidate& b)
              { return a.weight != b.weight ? a.weight > b.weight : a.id < b.id; });
    std::vector<router_id> ranked;
    for (auto it = candidates.begin(); it != candidates.end() && ranked.size() < count;)
    {
        const auto end = std::find_if(it, candidates.end(),
                                      [&](const relay_candidate& candidate)
                                      { return candidate.weight != it->weight; });
        std::vector<weighted_node> nodes;
        for (auto same = it; same != end; ++same)
        {
            nodes.push_back({hash64(same->id.view())});
        }
        for (const std::size_t n :
             rank_by_rendezvous(hash64("relay"), nodes, count - ranked.size()))
        {
            ranked.push_back((it + static_cast<std::ptrdiff_t>(n))->id);
        }
        it = end;
    }
    return ranked;
}

} // namespace

std::string_view to_string(relay_failure failure)
{
    switch (failure)
    {
    case relay_failure::behind:
        return "behind";
    case relay_failure::cut_off:
        return "cut_off";
    case relay_failure::unreachable:
        break;
    }
    return "unreachable";
}

bool source_choice::is_skipped(const router_id& relay, time_point now) const
{
    const auto it = skipped_.find(relay);
    return it != skipped_.end() && now < it->second.until;
}

std::vector<router_id> source_choice::choose_relays(std::span<const relay_candidate> live,
                                                    time_point now) const
{
    std::vector<relay_candidate> eligible;
    for (const relay_candidate& candidate : live)
    {
        const bool usable = candidate.id == self_ ? !cut_off_ : !is_skipped(candidate.id, now);
        if (usable)
        {
            eligible.push_back(candidate);
        }
    }
    return rank(live, std::move(eligible));
}

std::vector<router_id> source_choice::rank(std::span<const relay_candidate> live,
                                           std::vector<relay_candidate> eligible) const
{
    const std::size_t relay_count =
        config_.relay_count + (live.size() >= config_.large_fleet_size ? 1 : 0);
    if (live.size() <= relay_count * config_.max_followers)
    {
        return rank_relays(std::move(eligible), relay_count);
    }
    std::map<zone_id, std::vector<relay_candidate>> zones;
    for (relay_candidate& candidate : eligible)
    {
        std::vector<relay_candidate>& zone = zones[candidate.zone];
        zone.push_back(std::move(candidate));
    }
    std::vector<router_id> chosen;
    for (std::pair<const zone_id, std::vector<relay_candidate>>& zone : zones)
    {
        const std::size_t zone_relay_count =
            (zone.second.size() + config_.max_followers - 1) / config_.max_followers;
        const std::vector<router_id> ranked = rank_relays(std::move(zone.second), zone_relay_count);
        chosen.insert(chosen.end(), ranked.begin(), ranked.end());
    }
    return chosen;
}

router_id source_choice::choose_primary(std::span<const relay_candidate> live,
                                        std::span<const router_id> relays)
{
    std::vector<relay_candidate> candidates;
    for (const relay_candidate& candidate : live)
    {
        if (std::find(relays.begin(), relays.end(), candidate.id) != relays.end())
        {
            candidates.push_back(candidate);
        }
    }
    const std::vector<router_id> ranked = rank_relays(std::move(candidates), 1);
    return ranked.empty() ? router_id() : ranked.front();
}

change_source source_choice::choose(std::span<const relay_candidate> live, time_point now) const
{
    const std::vector<router_id> ranked = choose_relays(live, now);
    const bool is_relay = std::find(ranked.begin(), ranked.end(), self_) != ranked.end();
    const router_id primary = choose_primary(live, ranked);
    if (is_relay && primary == self_)
    {
        const std::vector<router_id> relays = reachable_relays(live, now);
        if (std::find(relays.begin(), relays.end(), self_) == relays.end())
        {
            const router_id unconfirmed = unconfirmed_relay(relays);
            if (!unconfirmed.empty())
            {
                return {change_source::kind::relay, unconfirmed, false};
            }
        }
        return {change_source::kind::service, {}, true};
    }
    if (ranked.empty())
    {
        return {change_source::kind::refresh, {}, false};
    }
    if (is_relay)
    {
        return {change_source::kind::relay, primary, true};
    }
    std::vector<const relay_candidate*> usable;
    for (const relay_candidate& candidate : live)
    {
        if (std::find(ranked.begin(), ranked.end(), candidate.id) != ranked.end())
        {
            usable.push_back(&candidate);
        }
    }
    // Relays in the same zone come first. Among them each router orders by a hash seeded with its
    // own id, which distributes the followers over the relays.
    const std::uint64_t seed = hash64(self_.view());
    const auto best =
        std::min_element(usable.begin(), usable.end(),
                         [&](const relay_candidate* a, const relay_candidate* b)
                         {
                             const bool a_remote = a->zone != zone_;
                             const bool b_remote = b->zone != zone_;
                             return a_remote != b_remote
                                        ? b_remote
                                        : hash64(a->id.view(), seed) < hash64(b->id.view(), seed);
                         });
    return {change_source::kind::relay, (*best)->id, false};
}

// Relays that are only behind keep their rank here. Otherwise all routers would count as relays in
// an outage, one after the other.
std::vector<router_id> source_choice::reachable_relays(std::span<const relay_candidate> live,
                                                       time_point now) const
{
    std::vector<relay_candidate> reachable;
    for (const relay_candidate& candidate : live)
    {
        const auto it = skipped_.find(candidate.id);
        const bool unreachable =
            is_skipped(candidate.id, now) && it->second.failure == relay_failure::unreachable;
        if (candidate.id == self_ || !unreachable)
        {
            reachable.push_back(candidate);
        }
    }
    return rank(live, std::move(reachable));
}

// Of several the one that has been skipped for the longest time, so that they are asked in turn.
router_id source_choice::unconfirmed_relay(std::span<const router_id> relays) const
{
    router_id best;
    time_point until;
    for (const router_id& relay : relays)
    {
        const auto it = skipped_.find(relay);
        if (it != skipped_.end() && it->second.failures < confirming_failures &&
            (best.empty() || it->second.until < until))
        {
            best = relay;
            until = it->second.until;
        }
    }
    return best;
}

millis source_choice::time_until_read(std::span<const relay_candidate> live,
                                      std::optional<millis> age, time_point now) const
{
    const change_source source = choose(live, now);
    if (source.type == change_source::kind::service)
    {
        return config_.timing.stale_after;
    }
    const std::vector<router_id> relays = reachable_relays(live, now);
    const bool is_relay = std::find(relays.begin(), relays.end(), self_) != relays.end();
    std::vector<relay_candidate> candidates(live.begin(), live.end());
    std::erase_if(candidates,
                  [&](const relay_candidate& candidate) {
                      return std::find(relays.begin(), relays.end(), candidate.id) == relays.end();
                  });
    const std::vector<router_id> first = rank_relays(std::move(candidates), 2);
    const bool is_first = std::find(first.begin(), first.end(), self_) != first.end();

    millis wait{0};
    if (age && !(cut_off_ && is_relay))
    {
        const millis limit = source.type == change_source::kind::refresh
                                 ? config_.timing.poll_wait
                                 : read_age(live.size(), is_first);
        wait = std::max(wait, limit - *age);
    }
    if (failed_reads_ > 0)
    {
        wait = std::max(wait, last_failed_read_ + read_pause(is_relay) - now);
    }
    return wait;
}

millis source_choice::read_age(std::size_t routers, bool is_first) const
{
    if (is_first)
    {
        return config_.timing.relay_stale_after;
    }
    const std::size_t range = std::clamp<std::size_t>(routers, 1, max_stagger_ms);
    return config_.timing.stale_after -
           millis{static_cast<std::int64_t>(hash64(self_.view()) % range)};
}

millis source_choice::read_pause(bool is_relay) const
{
    if (is_relay)
    {
        return std::min(config_.max_relay_read_pause, config_.relay_read_pause * failed_reads_);
    }
    const std::int64_t longest = config_.timing.read_pause.count;
    const std::int64_t less = static_cast<std::int64_t>(
        hash64(self_.view()) % static_cast<std::uint64_t>(std::max<std::int64_t>(longest / 2, 1)));
    return millis{longest - less};
}

millis source_choice::record_failure(const router_id& relay, relay_failure failure,
                                     std::span<const relay_candidate> live, time_point now)
{
    skipped_relay& skipped = skipped_[relay];
    ++skipped.failures;
    skipped.failure = failure;
    millis delay = config_.failed_relay_delay;
    if (failure != relay_failure::unreachable && cut_off_)
    {
        // An outage ends for the relays first, so they are asked again soon. The others are asked
        // in case the table service turns away some routers only.
        const std::vector<router_id> relays = reachable_relays(live, now);
        const bool is_relay = std::find(relays.begin(), relays.end(), relay) != relays.end();
        delay = is_relay ? config_.outage_relay_delay : delay;
    }
    else if (failure != relay_failure::unreachable)
    {
        millis growing = config_.behind_relay_delay;
        for (int n = 1; n < skipped.failures && growing < delay; ++n)
        {
            growing = growing * 2;
        }
        delay = std::min(delay, growing);
    }
    skipped.until = now + delay;
    return delay;
}

bool source_choice::may_follow_cut_off(const router_id& relay,
                                       std::span<const relay_candidate> live) const
{
    std::vector<relay_candidate> both;
    for (const relay_candidate& candidate : live)
    {
        if (candidate.id == self_ || candidate.id == relay)
        {
            both.push_back(candidate);
        }
    }
    return cut_off_ && both.size() == 2 && rank_relays(std::move(both), 1).front() == relay;
}

void source_choice::record_failed_read(time_point now)
{
    if (!cut_off_)
    {
        // The relays that were behind lack the table service as this router does.
        std::erase_if(skipped_, [](const std::pair<const router_id, skipped_relay>& entry)
                      { return entry.second.failure != relay_failure::unreachable; });
    }
    cut_off_ = true;
    ++failed_reads_;
    last_failed_read_ = now;
}

void source_choice::record_read()
{
    if (cut_off_)
    {
        skipped_.clear();
    }
    cut_off_ = false;
    failed_reads_ = 0;
}

} // namespace endivestage
