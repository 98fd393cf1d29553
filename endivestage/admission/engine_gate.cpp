#include <endivestage/admission/engine_gate.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

// Weight of the newest interval in the exponentially smoothed interval between departures.
constexpr double departure_smoothing = 0.2;

} // namespace

engine_gate::engine_gate(const gate_config& config, endpoint_id engine, std::uint64_t view,
                         std::span<const router_id> routers_to_ask, time_point now)
    : config_(config),
      engine_(std::move(engine)),
      view_(view),
      owned_since_(now),
      pending_routers_(routers_to_ask.begin(), routers_to_ask.end()),
      rebuilding_(!routers_to_ask.empty()),
      account_(config.report_lag),
      bound_(config.bound),
      ramp_(config.ramp),
      queue_(config.queue),
      cache_(config.cache_tokens)
{
    assert(config.capacity > 0.0);
}

std::uint32_t engine_gate::limit() const
{
    return cap_to_engine_limits(bound_.limit(config_.capacity));
}

std::uint32_t engine_gate::cap_to_engine_limits(std::uint32_t bound) const
{
    const std::uint32_t relative = std::min(bound, ramp_.allowance());
    return config_.max_requests == 0 ? relative : std::min(relative, config_.max_requests);
}

std::error_code engine_gate::refusal(time_point now) const
{
    switch (service_state_)
    {
    case engine_service_state::leaving:
        return errc::endpoint_leaving;
    case engine_service_state::out_of_service:
        return errc::zone_out_of_service;
    case engine_service_state::suspected:
        return errc::endpoint_unavailable;
    case engine_service_state::in_service:
        break;
    }
    return rebuilding_ || now >= confirmed_until_ ? make_error_code(errc::unconfirmed_view)
                                                  : std::error_code();
}

bool engine_gate::may_issue(time_point now) const
{
    return !refusal(now);
}

bool engine_gate::has_free_slot(std::uint32_t cached_tokens, bool checks_bound) const
{
    const std::uint32_t max_load =
        checks_bound ? cap_to_engine_limits(bound_.limit_without_margin(config_.capacity))
                     : limit();
    if (cached_tokens >= config_.min_cached_history_tokens)
    {
        return load() < max_load;
    }
    return load() < std::min(max_load,
                             bounded_limit(config_.open_multiple, bound_.mean(), config_.capacity));
}

permit_answer engine_gate::acquire(const permit_request& request, time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    if (const std::error_code ec = refusal(now))
    {
        return ec;
    }
    if (request.deadline <= now)
    {
        return make_error_code(errc::deadline_exceeded);
    }
    // A request that does not wait must not overtake waiting requests.
    if (queue_.empty() &&
        has_free_slot(cache_.cached_tokens(chat_key(request.chat)), request.checks_bound))
    {
        return issue(request, now);
    }
    if (!request.wait_allowed)
    {
        return make_error_code(errc::overloaded);
    }
    return enqueue(request, now);
}

permit_answer engine_gate::enqueue(const permit_request& request, time_point now)
{
    // A request that would have to wait may use the reserved slots: they would otherwise stay empty
    // while it waits.
    if (queue_.empty() && load() < limit())
    {
        return issue(request, now);
    }
    if (now + estimated_wait(request) > request.deadline)
    {
        return make_error_code(errc::deadline_exceeded);
    }
    const result<queue_ticket> ticket = queue_.push(request, now);
    if (!ticket)
    {
        return ticket.error();
    }
    return *ticket;
}

millis engine_gate::estimated_wait(const permit_request& request) const
{
    const auto departures =
        static_cast<double>(queue_.requests_ahead(request.team, request.priority) + 1);
    return millis{static_cast<std::int64_t>(departures * departure_interval_)};
}

permit engine_gate::issue(const permit_request& request, time_point now)
{
    const permit_key key{view_, ++last_sequence_};
    const held_permit held{key, request.holder, request.request, request.chat};
    const std::uint32_t cached = cache_.cached_tokens(chat_key(request.chat));
    const std::uint32_t prefill_tokens =
        request.history_tokens - std::min(cached, request.history_tokens);
    permits_.emplace(key, issued_permit{held, now, ramp_.epoch(), prefill_tokens});
    account_.add(now);
    permit issued;
    issued.key = key;
    issued.load = load();
    issued.limit = limit();
    issued.cached_tokens = cached;
    return issued;
}

std::vector<queue_decision> engine_gate::release(permit_key key, const permit_outcome& outcome,
                                                 time_point now)
{
    auto it = permits_.find(key);
    if (it == permits_.end())
    {
        return {};
    }
    bound_.expire(load(), config_.capacity, now);
    record_outcome(it->second, outcome, now);
    permits_.erase(it);
    account_.remove(now);
    return issue_to_waiting(now);
}

void engine_gate::record_outcome(const issued_permit& issued, const permit_outcome& outcome,
                                 time_point now)
{
    if (outcome.status == permit_outcome::kind::unused)
    {
        return;
    }
    record_departure(load() >= limit(), now);
    const bool completed = outcome.status == permit_outcome::kind::completed;
    ramp_.record_outcome(issued.ramp_epoch, completed ? outcome.first_token : std::nullopt,
                         issued.prefill_tokens);
    if (completed)
    {
        cache_.put(chat_key(issued.held.chat), outcome.tokens);
    }
}

void engine_gate::record_departure(bool at_limit, time_point now)
{
    // Intervals between departures of an engine below its limit do not show how long a waiting
    // request has to wait.
    if (last_departure_ && at_limit)
    {
        const auto interval = static_cast<double>((now - *last_departure_).count);
        departure_interval_ =
            departure_interval_ == 0.0
                ? interval
                : departure_interval_ + departure_smoothing * (interval - departure_interval_);
    }
    last_departure_ = at_limit ? std::optional(now) : std::nullopt;
}

void engine_gate::cancel(queue_ticket ticket)
{
    queue_.cancel(ticket);
}

bool engine_gate::renew(queue_ticket ticket, std::uint32_t renewal, time_point now)
{
    return queue_.renew(ticket, renewal, now);
}

std::vector<queue_decision> engine_gate::issue_to_waiting(time_point now)
{
    std::vector<queue_decision> decided;
    while (!queue_.empty() && may_issue(now) && load() < limit())
    {
        waiting_request next = *queue_.pop();
        if (next.request.deadline <= now)
        {
            decided.push_back(
                {next.ticket, std::move(next.request), make_error_code(errc::deadline_exceeded)});
            continue;
        }
        permit issued = issue(next.request, now);
        issued.renewal = next.renewal;
        decided.push_back({next.ticket, std::move(next.request), issued});
    }
    return decided;
}

std::vector<queue_decision> engine_gate::tick(time_point now)
{
    bound_.expire(load(), config_.capacity, now);
    std::vector<queue_decision> decided;
    for (waiting_request& expired :
         queue_.remove_if([&](const waiting_request& it) { return it.request.deadline <= now; }))
    {
        decided.push_back(
            {expired.ticket, std::move(expired.request), make_error_code(errc::deadline_exceeded)});
    }
    queue_.remove_if([&](const waiting_request& it)
                     { return now - it.renewed_at > permit_time_to_use; });
    return decided;
}

} // namespace endivestage
