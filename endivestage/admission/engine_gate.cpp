#include <endivestage/admission/engine_gate.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

// Weight of a new interval in the smoothed interval between departures.
constexpr double interval_weight = 0.2;

} // namespace

engine_gate::engine_gate(const gate_config& config, endpoint_id engine, std::uint64_t view,
                         std::span<const router_id> ask, time_point now)
    : config_(config),
      engine_(std::move(engine)),
      view_(view),
      took_over_(now),
      unanswered_(ask.begin(), ask.end()),
      rebuilding_(!ask.empty()),
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
    return within_engine(bound_.limit(config_.capacity));
}

std::uint32_t engine_gate::within_engine(std::uint32_t bound) const
{
    const std::uint32_t relative = std::min(bound, ramp_.allowance());
    return config_.max_requests == 0 ? relative : std::min(relative, config_.max_requests);
}

std::error_code engine_gate::refusal(time_point now) const
{
    switch (service_)
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
    const std::uint32_t most =
        checks_bound ? within_engine(bound_.limit_without_margin(config_.capacity)) : limit();
    if (cached_tokens >= config_.min_cached_history_tokens)
    {
        return load() < most;
    }
    return load() <
           std::min(most, bounded_limit(config_.open_multiple, bound_.mean(), config_.capacity));
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
    // A request that does not wait must not overtake the ones that do.
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
    // A waiting request may use the reserved places, which would otherwise stay empty beside it.
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
    const auto places =
        static_cast<double>(queue_.requests_ahead(request.team, request.priority) + 1);
    return millis{static_cast<std::int64_t>(places * departure_interval_)};
}

permit engine_gate::issue(const permit_request& request, time_point now)
{
    const permit_key key{view_, ++last_sequence_};
    const held_permit held{key, request.holder, request.request, request.chat};
    const std::uint32_t cached = cache_.cached_tokens(chat_key(request.chat));
    const std::uint32_t prefill = request.history_tokens - std::min(cached, request.history_tokens);
    permits_.emplace(key, issued_permit{held, now, ramp_.epoch(), prefill});
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
    settle(it->second, outcome, now);
    permits_.erase(it);
    account_.remove(now);
    return drain(now);
}

void engine_gate::settle(const issued_permit& issued, const permit_outcome& outcome, time_point now)
{
    if (outcome.status == permit_outcome::kind::unused)
    {
        return;
    }
    note_departure(load() >= limit(), now);
    const bool completed = outcome.status == permit_outcome::kind::completed;
    ramp_.record_outcome(issued.ramp_epoch, completed ? outcome.first_token : std::nullopt,
                         issued.prefill);
    if (completed)
    {
        cache_.put(chat_key(issued.held.chat), outcome.tokens);
    }
}

void engine_gate::note_departure(bool busy, time_point now)
{
    // Gaps of an engine with free places say nothing about how long a waiting request waits.
    if (last_departure_ && busy)
    {
        const auto gap = static_cast<double>((now - *last_departure_).count);
        departure_interval_ =
            departure_interval_ == 0.0
                ? gap
                : departure_interval_ + interval_weight * (gap - departure_interval_);
    }
    last_departure_ = busy ? std::optional(now) : std::nullopt;
}

void engine_gate::cancel(queue_ticket ticket)
{
    queue_.cancel(ticket);
}

bool engine_gate::renew(queue_ticket ticket, std::uint32_t renewal, time_point now)
{
    return queue_.renew(ticket, renewal, now);
}

std::vector<queue_decision> engine_gate::drain(time_point now)
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
    for (waiting_request& late :
         queue_.remove_if([&](const waiting_request& it) { return it.request.deadline <= now; }))
    {
        decided.push_back(
            {late.ticket, std::move(late.request), make_error_code(errc::deadline_exceeded)});
    }
    queue_.remove_if([&](const waiting_request& it)
                     { return now - it.renewed_at > permit_time_to_use; });
    return decided;
}

} // namespace endivestage
