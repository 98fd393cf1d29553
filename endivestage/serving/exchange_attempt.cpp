#include <endivestage/serving/exchange.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/crash_report.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

/// A reachable host accepts a connection within a few round trips, and a round trip between the
/// platform's zones takes about a millisecond.
constexpr millis connect_timeout{250};
/// When sent bytes stay unacknowledged for this long, the host or the network path has failed.
constexpr millis unacknowledged_timeout{700};
/// Assumed for endpoints that do not state how long they keep idle connections.
constexpr millis default_idle_timeout{30000};
/// Requests that may be executed only once use recently used connections only, since an older one
/// may have been dropped unnoticed.
constexpr millis max_idle_time_at_most_once{1500};
constexpr millis max_idle_time{60000};
/// A first event that takes longer than this multiple of its estimate is late.
constexpr std::int64_t late_estimate_factor = 3;
/// Responses to other requests that are skipped on one connection.
constexpr int max_mismatched_responses = 3;

} // namespace

awaitable<bool> exchange::open_connection(endpoint_record endpoint)
{
    const bool executed_once =
        route_->semantics == execution_semantics::at_most_once && !route_->streaming;
    const bool doubted = state_.reach.state(state_.time.now()) == reach_state::doubted;
    // An idle connection may be as silent as the link that is in doubt. A new one that fails is no
    // send.
    if (!executed_once || !doubted)
    {
        connection_ = state_.pool.acquire(endpoint.id, executed_once ? max_idle_time_at_most_once
                                                                     : max_idle_time);
    }
    connection_reused_ = connection_ != nullptr;
    if (connection_reused_)
    {
        co_return true;
    }
    connection_ = std::make_shared<daemon::http_connection>(executor_);
    daemon::network_address address;
    address.host = endpoint.host;
    address.port = endpoint.port;
    const millis timeout = std::min(connect_timeout, time_left());
    const std::error_code ec =
        co_await connection_->connect(std::move(address), timeout, unacknowledged_timeout);
    state_.metrics.record_connection(!ec);
    // An accepted connection counts once it has carried a response: something on the way may accept
    // it and reset it then.
    if (ec && timeout == connect_timeout && !caller_left_ && !stopping_)
    {
        state_.record_connection(endpoint.id, connection_result::failed);
    }
    co_return !ec;
}

awaitable<endpoint_outcome> exchange::attempt(endpoint_record endpoint)
{
    if (!co_await open_connection(endpoint))
    {
        ++history_.connect_failures;
        state_.pool.close_all(endpoint.id);
        co_return endpoint_outcome::unreachable;
    }
    time_budget time;
    time.remaining = time_left();
    time.latency_objective = route_->latency_objective;
    if (caller_left_ || stopping_ || time.remaining <= millis{0})
    {
        co_return endpoint_outcome::shed;
    }
    // The endpoint may have said so while the connection was opened.
    if (!is_usable(endpoint))
    {
        release_connection(endpoint);
        connection_.reset();
        co_return endpoint_outcome::shed;
    }
    forwarding_info info;
    info.endpoint = endpoint.id;
    info.team = team_;
    info.priority = priority_;
    info.time_left = time.remaining;
    info.last_event_id = framer_.last_event_id() ? framer_.last_event_id() : decoded_.last_event_id;
    info.copy_from = find_copy_source(endpoint.id);
    sent_at_ = state_.time.now();
    heard_at_ = sent_at_;
    first_event_seen_ = false;
    const millis max_wait = first_event_wait(time);
    log_placement(info, max_wait);
    ++history_.sends;
    response_share_.release();
    beyond_first_event_ = false;
    begin_measuring(endpoint);
    attempt_version_ = version_key(endpoint);
    if (brittle_send_)
    {
        brittle_send_->record_sent(sent_at_);
    }
    connection_->send(state_.codec.encode_request(request_, info), body_);
    const endpoint_outcome outcome = co_await read_response(endpoint, max_wait);
    heard_at_.reset();
    if (outcome == endpoint_outcome::broken)
    {
        if (!first_event_seen_ && !caller_left_ && !stopping_)
        {
            if (!connection_reused_ && !measured_.waited_out)
            {
                state_.record_connection(endpoint.id, connection_result::failed);
            }
            else if (!response_lost_ || !measured_.waited_out)
            {
                // A request that is slow at several endpoints says nothing about the link.
                state_.record_lost_response(endpoint.id, sent_at_);
                response_lost_ = true;
            }
        }
        record_missing_first_event(max_wait);
    }
    if (outcome != endpoint_outcome::shed && outcome != endpoint_outcome::misdirected)
    {
        ++history_.possible_executions;
    }
    if (outcome != endpoint_outcome::broken)
    {
        release_connection(endpoint);
    }
    else
    {
        connection_->close();
        check_for_crash(endpoint);
    }
    connection_.reset();
    co_return outcome;
}

void exchange::check_for_crash(const endpoint_record& endpoint)
{
    // Requests that have received more than the first event did not cause the crash.
    if (beyond_first_event_ || caller_left_ || stopping_ || decoded_.shared_prompt.empty())
    {
        return;
    }
    boost::asio::co_spawn(executor_,
                          report_crash(executor_, state_, endpoint, decoded_.shared_prompt),
                          boost::asio::detached);
}

void exchange::log_placement(const forwarding_info& info, millis max_wait) const
{
    const endpoint_state* endpoint = state_.endpoints.find(info.endpoint);
    const time_point now = state_.time.now();
    log_event(
        log_level::info, "request_placed",
        {{"request", decoded_.id},
         {"route", route_->name},
         {"endpoint", info.endpoint},
         {"load", endpoint != nullptr ? state_.endpoints.estimated_load(*endpoint, now) : 0.0},
         {"pace", endpoint != nullptr ? state_.times.pace(*endpoint, now) : 1.0},
         {"estimate_ms", sent_estimate_.known ? sent_estimate_.first_event : millis{-1}},
         {"failing_routers", endpoint != nullptr ? endpoint->failing_routers : 0},
         {"cold", endpoint != nullptr && endpoint->is_cold(now)},
         {"history",
          decoded_.chat_hash &&
              state_.prefixes.holds(*decoded_.chat_hash, hash64(info.endpoint.view()), now)},
         {"copy_from", info.copy_from ? to_string(*info.copy_from) : std::string()},
         {"send", history_.sends + 1},
         {"config", routes_->version()},
         {"copy_age_ms", state_.operations_lease.age(now).value_or(millis{-1})},
         {"wait_ms", max_wait},
         {"left_ms", info.time_left}});
}

void exchange::release_connection(const endpoint_record& endpoint)
{
    if (connection_->reusable() && !state_.notices.is_leaving(endpoint))
    {
        state_.pool.release(endpoint.id, connection_,
                            response_.info.idle_timeout.value_or(default_idle_timeout));
    }
    else
    {
        connection_->close();
    }
}

awaitable<result<exchange::received_response>> exchange::read_matching_head(millis max_wait)
{
    const time_point deadline = state_.time.now() + max_wait;
    for (int n = 0; n <= max_mismatched_responses; ++n)
    {
        result<http_response> head = co_await connection_->read_head(deadline - state_.time.now());
        if (!head)
        {
            co_return head.error();
        }
        received_response response;
        response.info = state_.codec.decode_response(*head, decoded_.id);
        response.head = std::move(*head);
        if (response.info.matches_request)
        {
            co_return response;
        }
        log_event(log_level::warning, "foreign_answer",
                  {{"request", decoded_.id},
                   {"endpoint", last_endpoint_},
                   {"status", response.head.status}});
        result<std::string> skipped_body =
            co_await read_response_body(deadline - state_.time.now());
        response_share_.release();
        if (!skipped_body)
        {
            co_return skipped_body.error();
        }
    }
    co_return make_error_code(errc::answer_mismatch);
}

void exchange::record_conditions(const endpoint_state& endpoint)
{
    const time_point now = state_.time.now();
    sent_conditions_ = state_.times.conditions(endpoint, work(), now);
    sent_estimate_ = state_.times.estimate(endpoint, work(), now);
}

void exchange::record_first_event_time()
{
    first_event_at_ = state_.time.now();
    first_event_seen_ = true;
    const endpoint_state* endpoint = state_.endpoints.find(last_endpoint_);
    // A resumed stream needs less work than the conditions say.
    if (endpoint == nullptr || history_.response_started || decoded_.last_event_id)
    {
        return;
    }
    const millis took = first_event_at_ - sent_at_;
    state_.first_events.record_first_event(sent_conditions_.model, endpoint->hash, took,
                                           first_event_at_);
    state_.times.record_first_event(sent_conditions_, state_.times.pace(*endpoint, first_event_at_),
                                    took);
    if (sent_estimate_.known)
    {
        state_.metrics.record_estimate(sent_estimate_.first_event, took);
    }
}

millis exchange::first_event_wait(time_budget time)
{
    const millis longest = first_response_timeout(*route_, history_, time);
    const time_point now = state_.time.now();
    const endpoint_state* endpoint = state_.endpoints.find(last_endpoint_);
    // Giving up early helps only if the request can be sent elsewhere. Cold engines take many times
    // as long as warm ones.
    if (!has_alternative_ || endpoint == nullptr || endpoint->is_cold(now) ||
        !state_.repeat_budget_for(service_).has_room(now, state_.routers.size()))
    {
        return longest;
    }
    const std::optional<millis> expected =
        state_.first_events.wait(sent_conditions_.model, endpoint->hash, now);
    if (!expected)
    {
        return longest;
    }
    // A long prompt or a queue may take longer than what was observed.
    const millis estimated = sent_estimate_.first_event * late_estimate_factor;
    return first_response_timeout(*route_, history_, time, std::max(*expected, estimated));
}

void exchange::record_missing_first_event(millis waited)
{
    const time_point now = state_.time.now();
    const bool reached = state_.reach.state(now) == reach_state::reached;
    if (reached && !first_event_seen_ && !caller_left_ && !stopping_ && now - sent_at_ >= waited)
    {
        state_.first_events.record_timeout(sent_conditions_.model, hash64(last_endpoint_.view()),
                                           waited, now);
        state_.metrics.record_first_event_timeout();
    }
}

void exchange::record_completion_time()
{
    const time_point now = state_.time.now();
    const endpoint_state* endpoint = state_.endpoints.find(last_endpoint_);
    if (endpoint != nullptr && history_.possible_executions == 0 && !decoded_.last_event_id)
    {
        state_.times.record_completion(sent_conditions_, state_.times.pace(*endpoint, now),
                                       now - first_event_at_);
    }
}

void exchange::record_unknown_load(std::size_t figures)
{
    state_.metrics.record_unknown_load_report();
    std::erase_if(state_.logged_load_reports,
                  [](const std::weak_ptr<daemon::http_connection>& connection)
                  { return connection.expired(); });
    if (state_.logged_load_reports.insert(connection_).second)
    {
        log_event(log_level::warning, "load_report_unknown",
                  {{"request", decoded_.id}, {"endpoint", last_endpoint_}, {"figures", figures}});
    }
}

void exchange::record_endpoint_state(const endpoint_record& endpoint, const response_info& info)
{
    const time_point now = state_.time.now();
    if (info.load)
    {
        state_.endpoints.record_load_report(endpoint.id, *info.load, now);
    }
    if (info.unknown_load_figures)
    {
        record_unknown_load(*info.unknown_load_figures);
    }
    if (info.cold_left && *info.cold_left > millis{0})
    {
        state_.endpoints.record_cold_report(endpoint.id, *info.cold_left, now);
    }
    // Another endpoint answered if the address belongs to it.
    if (!info.misdirected)
    {
        record_notices(endpoint, info);
        record_rejection(endpoint, info);
    }
}

void exchange::record_notices(const endpoint_record& endpoint, const response_info& info)
{
    const time_point now = state_.time.now();
    const std::optional<millis> copy_age = state_.operations_lease.age(now);
    if (info.malformed_notice)
    {
        state_.metrics.record_notice("malformed");
        log_event(log_level::warning, "endpoint_notice_malformed",
                  {{"request", decoded_.id}, {"endpoint", endpoint.id}});
    }
    if (info.leaving)
    {
        state_.metrics.record_notice("leaving");
        if (state_.notices.record_leaving(endpoint, now))
        {
            state_.pool.close_all(endpoint.id);
            log_event(log_level::info, "endpoint_avoided",
                      {{"request", decoded_.id},
                       {"endpoint", endpoint.id},
                       {"notice", "leaving"},
                       {"bound_ms", state_.bounds.max_drain_delay},
                       {"copy_age_ms", copy_age.value_or(millis{-1})}});
        }
    }
    if (info.hold_off)
    {
        state_.metrics.record_notice("hold_off");
        if (state_.notices.record_hold_off(endpoint, *info.hold_off, now))
        {
            log_event(log_level::info, "endpoint_avoided",
                      {{"request", decoded_.id},
                       {"endpoint", endpoint.id},
                       {"notice", "hold_off"},
                       {"bound_ms", state_.notices.hold_off_left(endpoint, now)},
                       {"copy_age_ms", copy_age.value_or(millis{-1})}});
        }
    }
}

awaitable<endpoint_outcome> exchange::read_response(endpoint_record endpoint, millis max_wait)
{
    const time_point first_event_deadline = state_.time.now() + max_wait;
    result<received_response> response = co_await read_matching_head(max_wait);
    if (!response)
    {
        measured_.waited_out = state_.time.now() >= first_event_deadline;
        co_return endpoint_outcome::broken;
    }
    state_.reach.record_response(state_.time.now());
    if (!connection_reused_)
    {
        state_.record_connection(endpoint.id, connection_result::works);
    }
    record_endpoint_state(endpoint, response->info);
    if (!response->info.success || !response->info.is_event_stream)
    {
        measured_.first_event = state_.time.now() - measured_.sent_at.value_or(time_point{});
        response_ = std::move(*response);
        co_return co_await forward_body();
    }
    if (!response->info.from_endpoint)
    {
        co_return endpoint_outcome::broken;
    }
    if (!history_.response_started)
    {
        // A resumed stream keeps the response head of its first engine.
        response_ = std::move(*response);
        if (decoded_.last_event_id && route_->semantics == execution_semantics::resumable)
        {
            framer_.resume_after(*decoded_.last_event_id);
        }
    }
    framer_.restart();
    co_return co_await forward_events(first_event_deadline);
}

} // namespace endivestage::serving
