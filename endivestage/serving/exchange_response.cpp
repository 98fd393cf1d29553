#include <endivestage/serving/exchange.hpp>

#include <endivestage/daemon/logging.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr std::size_t max_body_bytes = 16UL * 1024 * 1024;

} // namespace

void exchange::record_served_prompt()
{
    if (std::exchange(prompt_served_, true))
    {
        return;
    }
    state_.announce(state_.quarantine.record_served(decoded_.shared_prompt, state_.time.now()));
}

awaitable<result<std::string>> exchange::read_response_body(millis timeout)
{
    std::function<bool(std::size_t)> may_hold = [this](std::size_t bytes)
    {
        return bytes <= max_body_bytes && response_share_.resize(bytes);
    };
    result<std::string> body =
        co_await daemon::read_body(*connection_, timeout, std::move(may_hold));
    if (!body && body.error() == errc::too_large)
    {
        log_too_large();
    }
    co_return body;
}

void exchange::log_too_large() const
{
    log_event(log_level::warning, "answer_too_large",
              {{"request", decoded_.id},
               {"endpoint", last_endpoint_},
               {"bytes", response_share_.held()},
               {"all_bytes", state_.response_memory.in_use()}});
}

void exchange::record_rejection(const endpoint_record& endpoint, const response_info& info)
{
    const time_point now = state_.time.now();
    if (info.max_rejections_per_s || info.from_endpoint)
    {
        state_.record_rejection_limit(endpoint, info.max_rejections_per_s);
    }
    if (brittle_send_)
    {
        brittle_send_->record_answer();
    }
    const bool rejected = info.not_executed && !info.leaving;
    if (rejected && state_.brittle.limit(endpoint, now))
    {
        rejected_by_brittle_ = true;
        state_.rejections.record_rejection(endpoint.id, state_.random.next(), now);
        state_.metrics.record_brittle_rejection();
    }
}

awaitable<endpoint_outcome> exchange::forward_body()
{
    const response_info& info = response_.info;
    if (info.success)
    {
        record_first_event_time();
    }
    result<std::string> body = co_await read_response_body(time_left());
    if (info.misdirected)
    {
        co_return endpoint_outcome::misdirected;
    }
    if (info.not_executed)
    {
        co_return endpoint_outcome::shed;
    }
    if (!body)
    {
        co_return endpoint_outcome::broken;
    }
    response_body_ = std::move(*body);
    if (response_.head.status >= 500 || promises_no_execution(response_.head.status))
    {
        co_return endpoint_outcome::failed;
    }
    if (history_.response_started || !info.from_endpoint)
    {
        co_return endpoint_outcome::broken;
    }
    http_response response = state_.codec.encode_response(response_.head);
    response.body = std::move(response_body_);
    if (info.success)
    {
        record_completion_time();
        record_served_prompt();
    }
    record_end("served", response.status);
    co_await caller_.send(std::move(response));
    co_return endpoint_outcome::served;
}

void exchange::record_prefixes(const endpoint_id& engine)
{
    const std::uint64_t hash = hash64(engine.view());
    for (const prefix_sighting& sighting :
         state_.prefixes.record_served(decoded_.shared_prompt, hash, state_.time.now()))
    {
        state_.pending_sightings.push_back(sighting);
    }
}

awaitable<bool> exchange::deliver_events(std::string events)
{
    if (!history_.response_started)
    {
        history_.response_started = true;
        if (route_->semantics != execution_semantics::resumable)
        {
            body_.reset();
        }
        http_response head = state_.codec.encode_response(response_.head);
        const std::error_code ec = co_await caller_.begin(std::move(head));
        if (ec)
        {
            co_return false;
        }
    }
    const std::error_code ec = co_await caller_.write(events);
    co_return !ec;
}

awaitable<endpoint_outcome> exchange::forward_events(time_point first_event_deadline)
{
    bool first = true;
    int late_reads = 0;
    for (;;)
    {
        // Bytes without an event do not prolong the wait for the first event, and a stream whose
        // bytes never end is cut at the deadline. What has arrived by then is delivered, also when
        // a delayed event loop reads it later.
        const time_point wait_until = first ? std::min(first_event_deadline, deadline_) : deadline_;
        const millis max_wait = wait_until - state_.time.now();
        if (max_wait <= millis{0} && ++late_reads > daemon::max_late_reads)
        {
            co_return endpoint_outcome::broken;
        }
        result<std::string> chunk = co_await connection_->read_some(max_wait);
        if (!chunk)
        {
            measured_.waited_out = state_.time.now() >= wait_until;
            co_return endpoint_outcome::broken;
        }
        heard_at_ = state_.time.now();
        const bool end = chunk->empty();
        if (end && framer_.ends_inside_event())
        {
            co_return endpoint_outcome::broken;
        }
        std::string events = end ? framer_.take_remainder() : framer_.add(*chunk);
        if (!events.empty())
        {
            // The router that took the request records all this.
            const bool own_attempt = !via_router_;
            if (first && own_attempt && !record_stream_version())
            {
                co_return endpoint_outcome::broken;
            }
            if (first && own_attempt)
            {
                measured_.first_event =
                    state_.time.now() - measured_.sent_at.value_or(time_point{});
                state_.metrics.record_first_event(state_.time.now() - request_.received);
                // The first event shows that the engine has processed the prompt and caches it.
                record_prefixes(last_endpoint_);
                record_first_event_time();
            }
            else if (own_attempt)
            {
                // The first event may have been sent by an engine that crashes on the prompt.
                beyond_first_event_ = true;
                record_served_prompt();
            }
            first = false;
            const bool delivered = co_await deliver_events(std::move(events));
            if (!delivered)
            {
                caller_left_ = true;
                co_return endpoint_outcome::broken;
            }
        }
        // Only now: another engine goes on after the events that the framer has returned.
        if (framer_.is_broken())
        {
            co_return endpoint_outcome::broken;
        }
        if (!response_share_.resize(framer_.pending_bytes()))
        {
            log_too_large();
            co_return endpoint_outcome::broken;
        }
        if (end)
        {
            if (!history_.response_started)
            {
                co_return endpoint_outcome::broken;
            }
            if (!via_router_)
            {
                record_completion_time();
                record_served_prompt();
            }
            record_end("served", response_.head.status);
            co_await caller_.end();
            co_return endpoint_outcome::served;
        }
    }
}

} // namespace endivestage::serving
