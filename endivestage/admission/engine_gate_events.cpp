// Events of engine_gate that do not come from a single request.
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
    const std::size_t dead = std::erase_if(permits_, [&](const auto& item)
                                           { return item.second.held.holder == holder; });
    account_.orphan(static_cast<std::uint32_t>(dead), now);
    unanswered_.erase(holder);
    return drain(now);
}

std::vector<queue_decision> engine_gate::reconcile(const router_id& holder,
                                                   std::span<const permit_key> held,
                                                   time_point asked, time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    const std::set<permit_key> kept(held.begin(), held.end());
    const std::size_t lost = std::erase_if(permits_,
                                           [&](const auto& item)
                                           {
                                               const issued_permit& issued = item.second;
                                               return issued.held.holder == holder &&
                                                      asked - issued.issued >= permit_time_to_use &&
                                                      !kept.contains(item.first);
                                           });
    for (std::size_t n = 0; n < lost; ++n)
    {
        account_.remove(now);
    }
    return drain(now);
}

std::vector<router_id> engine_gate::holders_to_reconcile(millis age, time_point now) const
{
    std::set<router_id> holders;
    for (const auto& [key, issued] : permits_)
    {
        if (now - issued.issued > age)
        {
            holders.insert(issued.held.holder);
        }
    }
    return {holders.begin(), holders.end()};
}

std::vector<queue_decision> engine_gate::apply_report(const engine_report& report, time_point asked,
                                                      time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    note_incarnation(report);
    if (now - asked <= config_.report_lag)
    {
        // By then each permit of the old owner has expired or is part of the reported load (R6).
        const millis shown = permit_time_to_use + config_.report_lag;
        const bool complete = asked - took_over_ >= shown;
        const auto certain =
            std::count_if(permits_.begin(), permits_.end(),
                          [&](const auto& item) { return asked - item.second.issued >= shown; });
        account_.apply_report(report.running + report.waiting, asked,
                              static_cast<std::uint32_t>(certain), complete && rebuilding_);
        rebuilding_ = rebuilding_ && !complete;
    }
    return drain(now);
}

void engine_gate::note_incarnation(const engine_report& report)
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
    return drain(now);
}

std::vector<queue_decision> engine_gate::set_service_state(engine_service_state service,
                                                           time_point now)
{
    service_ = service;
    if (service == engine_service_state::in_service)
    {
        return drain(now);
    }
    return take_waiting(refusal(now));
}

std::vector<queue_decision> engine_gate::take_waiting(std::error_code reason)
{
    std::vector<queue_decision> decided;
    for (waiting_request& moved : queue_.remove_if([](const waiting_request&) { return true; }))
    {
        decided.push_back({moved.ticket, std::move(moved.request), reason});
    }
    return decided;
}

std::vector<queue_decision> engine_gate::set_confirmed(std::uint64_t view, time_point until,
                                                       time_point now)
{
    assert(view >= view_);
    view_ = view;
    confirmed_until_ = until;
    return drain(now);
}

std::vector<queue_decision> engine_gate::restore_permits(const router_id& router,
                                                         std::span<const held_permit> held,
                                                         time_point now)
{
    std::uint32_t added = 0;
    for (const held_permit& old : held)
    {
        // Epoch 0 with the ramp's first epoch would count as a completion of this owner's ramp.
        const issued_permit issued{old, now, std::numeric_limits<std::uint32_t>::max(), 0};
        added += permits_.emplace(old.key, issued).second ? 1U : 0U;
    }
    account_.restore(added, now);
    unanswered_.erase(router);
    rebuilding_ = rebuilding_ && !unanswered_.empty();
    return drain(now);
}

std::vector<queue_decision> engine_gate::mark_warm(std::uint64_t incarnation, time_point now)
{
    if (!incarnation_ || *incarnation_ == incarnation)
    {
        incarnation_ = incarnation;
        ramp_.make_warm();
    }
    return drain(now);
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
    for (const std::span<const recency_entry> part : {entries, std::span(own)})
    {
        for (const recency_entry& it : part)
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
    if (service_ != engine_service_state::in_service)
    {
        return std::nullopt;
    }
    const double expected = bound_.mean() * config_.capacity;
    // An engine that turned cold under load counts at least with the capacity that its load uses.
    const double usable = std::max(ramp_.allowance(), load());
    const double share = expected > 0.0 ? std::min(1.0, usable / expected) : 1.0;
    return engine_load{engine_, load(), config_.capacity * share};
}

std::optional<engine_status> engine_gate::status(const chat_id& chat) const
{
    const std::optional<engine_load> present = digest_entry();
    if (!present || rebuilding_)
    {
        return std::nullopt;
    }
    return engine_status{present->load, config_.capacity, cache_.cached_tokens(chat_key(chat))};
}

} // namespace endivestage
