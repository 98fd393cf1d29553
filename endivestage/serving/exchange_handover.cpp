#include <endivestage/serving/exchange.hpp>

#include <endivestage/daemon/logging.hpp>

#include <algorithm>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis router_connect_timeout{250};
constexpr millis router_unacknowledged_timeout{700};
/// Routers keep idle connections for longer than this.
constexpr millis max_idle_time_to_router{1500};
/// Routers that say that they do not take a request answer within a few ms.
constexpr std::size_t max_refusals = 8;
/// A router that does not answer takes a whole timeout.
constexpr std::size_t max_unreached = 2;
/// The body of a refusal is a short error.
constexpr millis refusal_read_timeout{250};
/// Retry delay when no router reaches the endpoints, or all that do are busy.
constexpr millis retry_after_no_router{250};

/// Routers share the type of the pool with endpoints.
endpoint_id pool_key(const router_id& router)
{
    return endpoint_id(router.str());
}

} // namespace

void exchange::take_over(const handover_info& info, handover_writer& writer)
{
    taken_from_ = &writer;
    history_.sends = info.sends;
    history_.possible_executions = info.possible_executions;
    executions_before_ = info.possible_executions;
    if (info.last_event_id)
    {
        decoded_.last_event_id = info.last_event_id;
        decoded_.first_attempt = info.first_attempt;
        decoded_.takes_up = true;
    }
}

bool exchange::needs_handover(const endpoint_state* chosen) const
{
    const time_point now = state_.time.now();
    const reach_state reach = state_.reach.state(now);
    const bool has_others =
        taken_from_ != nullptr || (state_.handover_targets && state_.routers.size() > 1);
    if (reach == reach_state::reached || !has_others)
    {
        return false;
    }
    if (reach == reach_state::doubted)
    {
        // Another router answers sooner than a further connection that may fail.
        return last_unreachable_ && taken_from_ == nullptr && !handover_refused_;
    }
    // A connection that has carried a response since the cut began lives on.
    return chosen == nullptr ||
           !state_.pool.has_idle_since(chosen->record.id, *state_.reach.cut_off_since());
}

awaitable<bool> exchange::hand_over()
{
    if (taken_from_ != nullptr)
    {
        if (history_.possible_executions == executions_before_)
        {
            taken_from_->refuse(handover_refusal::cut_off);
        }
        co_await finish_without_router(false);
        co_return true;
    }
    std::vector<router_id> tried;
    std::size_t unreached = 0;
    while (tried.size() < max_refusals && unreached < max_unreached && !caller_left_ &&
           !stopping_ && time_left() > millis{0})
    {
        const std::vector<handover_target> targets = state_.handover_targets();
        std::vector<handover_candidate> candidates;
        candidates.reserve(targets.size());
        for (const handover_target& target : targets)
        {
            candidates.push_back(target.candidate);
        }
        const std::optional<router_id> chosen =
            state_.handovers.choose(candidates, tried, state_.random, state_.time.now());
        if (!chosen)
        {
            break;
        }
        tried.push_back(*chosen);
        handover_target target = *std::find_if(targets.begin(), targets.end(),
                                               [&](const handover_target& candidate)
                                               { return candidate.candidate.id == *chosen; });
        state_.handovers.begin(*chosen);
        const handover_result outcome = co_await hand_over_to(std::move(target));
        state_.handovers.end(*chosen);
        connection_.reset();
        if (caller_left_)
        {
            end_without_caller();
            co_return true;
        }
        if (outcome == handover_result::answered)
        {
            co_return true;
        }
        if (outcome == handover_result::lost)
        {
            co_await finish_without_router(true);
            co_return true;
        }
        unreached += outcome == handover_result::unreached ? 1 : 0;
    }
    if (caller_left_)
    {
        end_without_caller();
        co_return true;
    }
    if (state_.reach.state(state_.time.now()) != reach_state::cut_off)
    {
        handover_refused_ = true;
        co_return false;
    }
    co_await finish_without_router(false);
    co_return true;
}

awaitable<bool> exchange::connect_to_router(handover_target target)
{
    const endpoint_id key = pool_key(target.candidate.id);
    connection_ = state_.router_connections.acquire(key, max_idle_time_to_router);
    if (connection_)
    {
        co_return true;
    }
    connection_ = std::make_shared<daemon::http_connection>(executor_);
    const millis timeout = std::min(router_connect_timeout, time_left());
    const std::error_code ec =
        co_await connection_->connect(target.address, timeout, router_unacknowledged_timeout);
    co_return !ec;
}

awaitable<exchange::handover_result> exchange::hand_over_to(handover_target target)
{
    const router_id router = target.candidate.id;
    const bool connected = co_await connect_to_router(std::move(target));
    if (!connected)
    {
        // Otherwise the attempt was cut short.
        if (!caller_left_ && !stopping_ && time_left() > millis{0})
        {
            state_.handovers.record_unreachable(router, state_.time.now());
        }
        state_.metrics.record_handover("unreached");
        log_event(log_level::info, "handover_failed",
                  {{"request", decoded_.id}, {"router", router}, {"reason", "unreached"}});
        co_return handover_result::unreached;
    }
    if (caller_left_ || stopping_ || time_left() <= millis{0})
    {
        co_return handover_result::refused;
    }
    handover_info info;
    info.config_version = routes_->version();
    info.sends = history_.sends;
    info.possible_executions = history_.possible_executions;
    if (history_.response_started && framer_.last_event_id())
    {
        info.last_event_id = framer_.last_event_id();
        info.first_attempt = decoded_.first_attempt.value_or(decoded_.id);
    }
    http_request request = state_.codec.encode_handover(request_, time_left());
    write_handover(request, info);
    log_event(log_level::info, "request_handed_over",
              {{"request", decoded_.id},
               {"router", router},
               {"sends", history_.sends},
               {"begun", history_.response_started},
               {"open", state_.handovers.open()},
               {"left_ms", time_left()}});
    response_share_.release();
    connection_->send(std::move(request), body_);
    const handover_result outcome = co_await read_handover_response(router);
    if (connection_->reusable())
    {
        state_.router_connections.release(pool_key(router), connection_,
                                          max_idle_time_to_router * 2);
    }
    else
    {
        connection_->close();
    }
    co_return outcome;
}

awaitable<exchange::handover_result> exchange::read_handover_response(router_id router)
{
    result<http_response> head = co_await connection_->read_head(time_left());
    const handover_mark mark = head ? take_mark(*head) : handover_mark{};
    if (!mark.present)
    {
        // An endpoint that takes all of the time is not the router's fault.
        if (!caller_left_ && time_left() > millis{0})
        {
            state_.handovers.record_unreachable(router, state_.time.now());
        }
        state_.metrics.record_handover("lost");
        log_event(log_level::info, "handover_failed",
                  {{"request", decoded_.id},
                   {"router", router},
                   {"reason", head ? "unmarked_response" : "no_response"}});
        co_return handover_result::lost;
    }
    if (mark.refused)
    {
        result<std::string> error = co_await read_response_body(refusal_read_timeout);
        response_share_.release();
        if (!error)
        {
            connection_->close();
        }
        state_.handovers.record_refusal(router, state_.time.now());
        state_.metrics.record_handover("refused");
        log_event(log_level::info, "handover_failed",
                  {{"request", decoded_.id}, {"router", router}, {"reason", mark.reason}});
        co_return handover_result::refused;
    }
    received_response response;
    response.info = state_.codec.decode_response(*head, decoded_.id);
    response.head = std::move(*head);
    via_router_ = true;
    const handover_result outcome = co_await forward_handover_response(std::move(response));
    via_router_ = false;
    state_.metrics.record_handover(outcome == handover_result::answered ? "answered" : "lost");
    co_return outcome;
}

awaitable<exchange::handover_result> exchange::forward_handover_response(received_response response)
{
    const bool is_stream = response.info.success && response.info.is_event_stream;
    if (!history_.response_started)
    {
        // A resumed stream keeps the response head of its first engine.
        response_ = std::move(response);
    }
    if (is_stream)
    {
        if (!history_.response_started && decoded_.last_event_id &&
            route_->semantics == execution_semantics::resumable)
        {
            framer_.resume_after(*decoded_.last_event_id);
        }
        framer_.restart();
        const endpoint_outcome outcome = co_await forward_events(deadline_);
        co_return outcome == endpoint_outcome::served ? handover_result::answered
                                                      : handover_result::lost;
    }
    if (history_.response_started)
    {
        co_return handover_result::lost;
    }
    result<std::string> body = co_await read_response_body(time_left());
    if (!body)
    {
        co_return handover_result::lost;
    }
    if (history_.possible_executions > 0 && promises_no_execution(response_.head.status))
    {
        // The other router speaks for itself only; the request may have run before.
        co_await finish_without_router(true);
        co_return handover_result::answered;
    }
    http_response forwarded = state_.codec.encode_response(response_.head);
    forwarded.body = std::move(*body);
    record_end(response_.info.success ? "served" : "handover_answered", forwarded.status);
    co_await caller_.send(std::move(forwarded));
    co_return handover_result::answered;
}

awaitable<void> exchange::finish_without_router(bool may_have_run)
{
    if (history_.response_started)
    {
        record_end("stream_cut", 0);
        caller_.abort();
        co_return;
    }
    if (!may_have_run && history_.possible_executions == 0)
    {
        const millis retry_after =
            std::min(retry_after_no_router, std::max(millis{0}, time_left() / 3));
        co_await send_error(503, errc::no_endpoint, execution::not_run, retry_after);
        co_return;
    }
    const bool out_of_time = time_left() <= millis{5};
    co_await send_error(out_of_time ? 504 : 502,
                        out_of_time ? errc::deadline_exceeded : errc::outcome_unknown,
                        execution::unknown, std::nullopt);
}

void exchange::leave_silent_connection(time_point since)
{
    const bool repeatable = route_ != nullptr && body_ != nullptr &&
                            route_->semantics != execution_semantics::at_most_once &&
                            history_.possible_executions + 1 < route_->max_attempts;
    if (repeatable && heard_at_ && *heard_at_ <= since && !via_router_ && connection_)
    {
        connection_->close();
    }
}

} // namespace endivestage::serving
