// Functions of engine_gate for events that do not belong to a single request.
#include <endivestage/admission/engine_gate.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

std::vector<queue_decision> engine_gate::handle_holder_failure(const router_id& holder,
                                                               time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    queue_.remove_if([&](const waiting_request& it) { return it.request.holder == holder; });
    const std::size_t orphaned = std::erase_if(permits_, [&](const auto& item)
                                               { return item.second.held.holder == holder; });
    account_.orphan(static_cast<std::uint32_t>(orphaned), now);
    pending_routers_.erase(holder);
    return issue_to_waiting(now);
}

std::vector<queue_decision> engine_gate::reconcile(const router_id& holder,
                                                   std::span<const permit_key> held,
                                                   time_point requested_at, time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    const std::set<permit_key> kept(held.begin(), held.end());
    const std::size_t lost =
        std::erase_if(permits_,
                      [&](const auto& item)
                      {
                          const issued_permit& issued = item.second;
                          return issued.held.holder == holder &&
                                 requested_at - issued.issued_at >= permit_time_to_use &&
                                 !kept.contains(item.first);
                      });
    for (std::size_t n = 0; n < lost; ++n)
    {
        account_.remove(now);
    }
    return issue_to_waiting(now);
}

std::vector<router_id> engine_gate::holders_to_reconcile(millis age, time_point now) const
{
    std::set<router_id> holders;
    for (const auto& [key, issued] : permits_)
    {
        if (now - issued.issued_at > age)
        {
            holders.insert(issued.held.holder);
        }
    }
    return {holders.begin(), holders.end()};
}

std::vector<queue_decision> engine_gate::apply_report(const engine_report& report,
                                                      time_point requested_at, time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    update_incarnation(report);
    if (now - requested_at <= config_.report_lag)
    {
        // A permit that is this old has expired, or the report shows its request. Once this router
        // has owned the engine for this long, that holds for all permits of former owners, and the
        // rebuild is complete without the answers of their holders.
        const millis visible_age = permit_time_to_use + config_.report_lag;
        const bool complete = requested_at - owned_since_ >= visible_age;
        const auto visible = std::count_if(
            permits_.begin(), permits_.end(),
            [&](const auto& item) { return requested_at - item.second.issued_at >= visible_age; });
        account_.apply_report(report.running + report.waiting, requested_at,
                              static_cast<std::uint32_t>(visible), complete && rebuilding_);
        rebuilding_ = rebuilding_ && !complete;
    }
    return issue_to_waiting(now);
}

void engine_gate::update_incarnation(const engine_report& report)
{
    const bool restarted = incarnation_ && *incarnation_ != report.incarnation;
    if (restarted || report.cache_lost)
    {
        ramp_.make_cold();
        cache_.clear();
    }
    else if (report.warm && !has_report_)
    {
        ramp_.make_warm();
    }
    incarnation_ = report.incarnation;
    has_report_ = true;
}

std::vector<queue_decision> engine_gate::update_mean(const pool_mean& mean, time_point sampled_at,
                                                     time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    bound_.update(mean, sampled_at, now);
    return issue_to_waiting(now);
}

std::vector<queue_decision> engine_gate::set_service_state(engine_service_state state,
                                                           time_point now)
{
    service_state_ = state;
    if (state == engine_service_state::in_service)
    {
        return issue_to_waiting(now);
    }
    return refuse_waiting(refusal(now));
}

std::vector<queue_decision> engine_gate::refuse_waiting(std::error_code reason)
{
    std::vector<queue_decision> decided;
    for (waiting_request& refused : queue_.remove_if([](const waiting_request&) { return true; }))
    {
        decided.push_back({refused.ticket, std::move(refused.request), reason});
    }
    return decided;
}

std::vector<queue_decision> engine_gate::set_confirmed(std::uint64_t view, time_point until,
                                                       time_point now)
{
    assert(view >= view_);
    view_ = view;
    confirmed_until_ = until;
    return issue_to_waiting(now);
}

std::vector<queue_decision> engine_gate::restore_permits(const router_id& router,
                                                         std::span<const held_permit> held,
                                                         time_point now)
{
    std::uint32_t added = 0;
    for (const held_permit& it : held)
    {
        // With epoch 0, the first epoch of the ramp, the outcome of a restored permit would count
        // in this owner's ramp.
        const issued_permit issued{it, now, std::numeric_limits<std::uint32_t>::max(), 0};
        added += permits_.emplace(it.key, issued).second ? 1U : 0U;
    }
    account_.restore(added, now);
    pending_routers_.erase(router);
    rebuilding_ = rebuilding_ && !pending_routers_.empty();
    return issue_to_waiting(now);
}

std::vector<queue_decision> engine_gate::mark_warm(std::uint64_t incarnation, time_point now)
{
    if (!incarnation_ || *incarnation_ == incarnation)
    {
        incarnation_ = incarnation;
        ramp_.make_warm();
    }
    return issue_to_waiting(now);
}

void engine_gate::restore_cache(std::uint64_t incarnation, std::span<const recency_entry> entries)
{
    if (incarnation_ && *incarnation_ != incarnation)
    {
        return;
    }
    incarnation_ = incarnation;
    const std::vector<recency_entry> own = cache_.entries();
    cache_.clear();
    for (const std::span<const recency_entry> estimate : {entries, std::span(own)})
    {
        for (const recency_entry& it : estimate)
        {
            cache_.put(it.chat_key, it.tokens);
        }
    }
}

std::vector<held_permit> engine_gate::snapshot() const
{
    std::vector<held_permit> held;
    for (const auto& [key, issued] : permits_)
    {
        held.push_back(issued.held);
    }
    return held;
}

std::optional<engine_load> engine_gate::digest_entry() const
{
    if (service_state_ != engine_service_state::in_service)
    {
        return std::nullopt;
    }
    const double expected = bound_.mean() * config_.capacity;
    // An engine that became cold under load counts with at least the capacity that its load uses.
    const double usable = std::max(ramp_.allowance(), load());
    const double share = expected > 0.0 ? std::min(1.0, usable / expected) : 1.0;
    return engine_load{engine_, load(), config_.capacity * share};
}

std::optional<engine_status> engine_gate::status(const chat_id& chat) const
{
    const std::optional<engine_load> entry = digest_entry();
    if (!entry || rebuilding_)
    {
        return std::nullopt;
    }
    return engine_status{entry->load, config_.capacity, cache_.cached_tokens(chat_key(chat))};
}

} // namespace endivestage
