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

/// Setting up a copy from another engine takes a few milliseconds, as long as processing this many
/// tokens.
constexpr std::uint32_t min_copied_tokens = 100;
/// Retry delay when this router's copy of the tables is too old. Another router can serve the
/// request at once.
constexpr millis retry_after_stale_copy{50};
/// Retry delay while this router stops. Other routers can serve the request at once.
constexpr millis retry_after_stopping{50};
/// Retry delay when endpoints refuse requests and the backlog is not known; they must complete some
/// of their work first.
constexpr millis retry_after_overload{250};

/// A body and its part of the memory of requests.
struct kept_body
{
    std::string bytes;
    std::shared_ptr<request_reservation> memory;
};

std::shared_ptr<const std::string> keep_body(http_request& request)
{
    const std::shared_ptr<kept_body> kept = std::make_shared<kept_body>();
    kept->bytes = std::move(request.body);
    kept->memory = std::move(request.memory);
    return {kept, &kept->bytes};
}

} // namespace

exchange::exchange(boost::asio::any_io_executor executor, router_state& state, http_request request,
                   caller_request decoded, daemon::response_writer& caller)
    : executor_(std::move(executor)),
      state_(state),
      request_(std::move(request)),
      body_(keep_body(request_)),
      decoded_(std::move(decoded)),
      caller_(caller),
      response_share_(state.response_memory)
{
}

millis exchange::time_left() const
{
    return deadline_ - state_.time.now();
}

awaitable<void> exchange::send_error(int status, errc code, execution state,
                                     std::optional<millis> retry_after)
{
    http_response response = state_.codec.encode_error(status, code, state, retry_after);
    record_end(to_string(code), status);
    co_await caller_.send(std::move(response));
}

void exchange::record_end(std::string_view result, int status) const
{
    const millis duration = state_.time.now() - request_.received;
    const bool streaming = route_ != nullptr && route_->streaming;
    state_.metrics.record_request(result, streaming, duration);
    log_event(
        log_level::info, "request_answered",
        {{"request", decoded_.id},
         {"route", route_ != nullptr ? std::string_view(route_->name) : std::string_view("-")},
         {"result", result},
         {"status", status},
         {"endpoint", last_endpoint_},
         {"sends", history_.sends},
         {"runs", history_.possible_executions},
         {"config", routes_ ? routes_->version() : 0},
         {"took_ms", duration}});
}

void exchange::end_without_caller()
{
    record_end("caller_left", 0);
    caller_.abort();
}

awaitable<void> exchange::run()
{
    if (state_.lifecycle == lifecycle_state::starting)
    {
        const bool may_go_on = co_await wait_for_tables();
        if (!may_go_on)
        {
            co_return;
        }
    }
    routes_ = state_.routes;
    if (!routes_)
    {
        co_await send_error(503, errc::shutting_down, execution::not_run, retry_after_stopping);
        co_return;
    }
    // Without a current copy of the table, this router may not have seen that a permission was
    // withdrawn or that a route was added, so it neither permits nor denies anything.
    if (!state_.operations_lease.is_valid(state_.time.now()))
    {
        co_await send_error(503, errc::store_unavailable, execution::not_run,
                            retry_after_stale_copy);
        co_return;
    }
    route_ = routes_->find(decoded_.host, decoded_.path);
    if (route_ == nullptr || route_->targets.empty())
    {
        co_await send_error(404, errc::not_found, execution::not_run, std::nullopt);
        co_return;
    }
    priority_ = route_->priority;
    const bool keyed = routes_->requires_keys() && !route_->anonymous;
    if (keyed)
    {
        const team_access* team = routes_->find_team(decoded_.api_key);
        if (team == nullptr)
        {
            co_await send_error(401, errc::unauthorized, execution::not_run, std::nullopt);
            co_return;
        }
        team_ = team->name;
        priority_ = team->priority.value_or(priority_);
    }
    deadline_ = request_.received + route_->timeout;
    if (decoded_.timeout && *decoded_.timeout < route_->timeout)
    {
        deadline_ = request_.received + *decoded_.timeout;
    }
    if (state_.completion_limit && deadline_ > *state_.completion_limit)
    {
        co_await send_error(503, errc::shutting_down, execution::not_run, retry_after_stopping);
        co_return;
    }
    if (state_.reach.cut_off_since() && state_.pool.size() == 0 && needs_handover(nullptr))
    {
        watch_caller();
        const bool ended = co_await hand_over();
        if (ended)
        {
            co_return;
        }
    }
    if (co_await refuse_quarantined())
    {
        co_return;
    }
    service_ = choose_target(*route_, decoded_.chat_hash.value_or(hash64(decoded_.id.view())));
    profile_ = routes_->find_service(service_);
    watch_caller();
    const bool may_begin = co_await find_stream_version();
    if (!may_begin)
    {
        co_return;
    }
    const bool has_room = co_await wait_for_room();
    if (has_room)
    {
        co_await try_endpoints();
    }
}

void exchange::watch_caller()
{
    if (watches_caller_)
    {
        return;
    }
    watches_caller_ = true;
    std::weak_ptr<exchange> weak_self = weak_from_this();
    caller_.on_caller_left(
        [weak_self]
        {
            const std::shared_ptr<exchange> self = weak_self.lock();
            if (self)
            {
                self->caller_left_ = true;
                self->cancel_wait();
                if (self->connection_)
                {
                    self->connection_->close();
                }
                if (self->leave_start_gate_)
                {
                    self->leave_start_gate_();
                }
            }
        });
}

void exchange::stop()
{
    if (history_.response_started)
    {
        return;
    }
    stopping_ = true;
    cancel_wait();
    if (connection_)
    {
        connection_->close();
    }
}

awaitable<bool> exchange::refuse_quarantined()
{
    const quarantine_decision decision =
        state_.quarantine.admit(decoded_.shared_prompt, state_.routers.size(), state_.time.now());
    state_.announce(decision.reports);
    if (!decision.reports.empty())
    {
        log_event(log_level::warning, "prompt_tried",
                  {{"request", decoded_.id}, {"part", decision.part}});
    }
    if (!decision.admitted)
    {
        log_event(log_level::info, "prompt_refused",
                  {{"request", decoded_.id}, {"part", decision.part}});
        co_await send_error(503, errc::prompt_quarantined, execution::not_run,
                            decision.retry_after);
    }
    co_return !decision.admitted;
}

const endpoint_state* exchange::choose_endpoint()
{
    const time_point now = state_.time.now();
    const std::vector<const endpoint_state*> available = state_.endpoints.available(service_, now);
    const usable_endpoints usable =
        state_.notices.select(available, state_.bounds.max_drain_delay, now);
    first_return_ = usable.first_return;
    if (decoded_.chat_hash)
    {
        rendezvous_pair_ = find_rendezvous_pair(available, *decoded_.chat_hash);
    }
    const version_choice versions = choose_versions(usable.endpoints);
    const endpoint_state* chosen = choose_among(versions.preferred);
    return chosen != nullptr || versions.fallback.empty() ? chosen
                                                          : choose_among(versions.fallback);
}

const endpoint_state* exchange::choose_among(std::span<const endpoint_state* const> endpoints)
{
    const time_point now = state_.time.now();
    endpoint_choice_input input;
    input.endpoints = endpoints;
    input.tried = tried_;
    input.now = now;
    input.chat_hash = decoded_.chat_hash;
    input.prefixes = &state_.prefixes;
    input.tie_breaker = state_.random.next();
    input.estimator = &state_.times;
    input.work = work();
    input.zone = state_.zone;
    const std::vector<const endpoint_state*> ranked =
        rank_endpoints(state_.endpoints, input, state_.choice);
    has_alternative_ = ranked.size() > 1;
    for (const endpoint_state* endpoint : ranked)
    {
        // A rejection that is repeated at the next brittle endpoint makes that one fail as well.
        if (!state_.may_risk_rejection(*endpoint, rejected_by_brittle_))
        {
            continue;
        }
        if (!endpoint->is_cold(now) || profile_ == nullptr ||
            profile_->cold_requests_per_s <= 0.0 ||
            state_.cold_limiter.try_acquire(endpoint->record.id, state_.cold_limit_for(*profile_),
                                            state_.routers, now))
        {
            return endpoint;
        }
    }
    return nullptr;
}

request_work exchange::work() const
{
    request_work described;
    described.route = route_->name;
    described.prompt_tokens = decoded_.prompt_tokens;
    described.shared_prompt = decoded_.shared_prompt;
    return described;
}

bool exchange::is_usable(const endpoint_record& endpoint) const
{
    const time_point now = state_.time.now();
    if (!may_run(endpoint))
    {
        return false;
    }
    if (stream_version_)
    {
        const endpoint_state* current = state_.endpoints.find(endpoint.id);
        if (current == nullptr || version_key(current->record) != *stream_version_)
        {
            return false;
        }
    }
    if (!state_.notices.is_leaving(endpoint) &&
        state_.notices.hold_off_left(endpoint, now) == millis{0})
    {
        return true;
    }
    const std::vector<const endpoint_state*> available = state_.endpoints.available(service_, now);
    const usable_endpoints usable =
        state_.notices.select(available, state_.bounds.max_drain_delay, now);
    return std::any_of(usable.endpoints.begin(), usable.endpoints.end(),
                       [&](const endpoint_state* candidate)
                       { return candidate->record.id == endpoint.id; });
}

std::optional<daemon::network_address> exchange::find_copy_source(const endpoint_id& target) const
{
    const time_point now = state_.time.now();
    const std::uint64_t target_hash = hash64(target.view());
    const endpoint_state* receiver = state_.endpoints.find(target);
    const bool within_version = receiver != nullptr && state_.rollouts.rule(service_) != nullptr;
    const auto usable = [&](std::uint64_t hash)
    {
        const endpoint_state* engine = state_.endpoints.find_by_hash(hash);
        return engine != nullptr && hash != target_hash &&
               (!within_version || engine->record.version == receiver->record.version) &&
               now >= engine->avoid_until && engine->consecutive_failures == 0;
    };
    std::optional<std::uint64_t> source = state_.prefixes.find_source(
        decoded_.shared_prompt, target_hash, usable, min_copied_tokens, now);
    const bool unknown = decoded_.chat_hash && !state_.prefixes.contains(*decoded_.chat_hash, now);
    if (!source && unknown)
    {
        // Other routers may have sent the chat to the first endpoint of its rendezvous order. When
        // an engine has joined ahead of that endpoint, it is now the second one.
        source = rendezvous_pair_.first == target_hash ? rendezvous_pair_.second
                                                       : rendezvous_pair_.first;
    }
    if (!source || !usable(*source))
    {
        return std::nullopt;
    }
    const endpoint_record& record = state_.endpoints.find_by_hash(*source)->record;
    return daemon::network_address{record.host, record.port};
}

awaitable<void> exchange::try_endpoints()
{
    repeat_budget& budget = state_.repeat_budget_for(service_);
    bool first_send_counted = history_.sends > 0;
    for (;;)
    {
        if (caller_left_)
        {
            end_without_caller();
            co_return;
        }
        const endpoint_state* chosen = choose_endpoint();
        if (needs_handover(chosen))
        {
            const bool ended = co_await hand_over();
            if (ended)
            {
                co_return;
            }
            continue;
        }
        if (chosen == nullptr)
        {
            co_await finish_after_failure(next_step::refuse, endpoint_outcome::shed);
            co_return;
        }
        const endpoint_record endpoint = chosen->record;
        // Once per request: connections that fail are no sends, and must not let the budget grow.
        if (!std::exchange(first_send_counted, true))
        {
            budget.record_first_send(state_.time.now());
        }
        tried_.push_back(endpoint.id);
        last_endpoint_ = endpoint.id;
        record_conditions(*chosen);
        brittle_send_.reset();
        if (state_.brittle.limit(endpoint, state_.time.now()))
        {
            brittle_send_.emplace(state_.rejections, endpoint.id, state_.time.now());
        }
        state_.endpoints.begin_request(endpoint.id);
        const open_work_count counted(state_.overload.service(service_), relative_work_,
                                      state_.time);
        const endpoint_outcome outcome = co_await attempt(endpoint);
        brittle_send_.reset();
        record_version_outcome(endpoint, outcome);
        const millis cold_period = profile_ != nullptr ? profile_->cold_period : millis{0};
        if (caller_left_)
        {
            state_.endpoints.end_request(endpoint.id, endpoint_outcome::shed, state_.time.now(),
                                         millis{0});
            end_without_caller();
            co_return;
        }
        state_.endpoints.end_request(endpoint.id, outcome, state_.time.now(), cold_period);
        last_unreachable_ = outcome == endpoint_outcome::unreachable;
        state_.metrics.record_attempt(outcome);
        if (outcome == endpoint_outcome::served)
        {
            co_return;
        }
        log_event(log_level::info, "attempt_failed",
                  {{"request", decoded_.id},
                   {"endpoint", endpoint.id},
                   {"outcome", to_string(outcome)},
                   {"reused", connection_reused_},
                   {"begun", history_.response_started},
                   {"left_ms", time_left()}});
        time_budget time;
        time.remaining = time_left();
        time.latency_objective = route_->latency_objective;
        next_step step = decide_next_step(*route_, outcome, history_, time);
        if (step == next_step::try_another && history_.sends > 0 &&
            !budget.try_acquire(state_.time.now(), state_.routers.size()))
        {
            log_event(log_level::info, "repeat_denied", {{"request", decoded_.id}});
            step = outcome == endpoint_outcome::failed ? next_step::deliver
                   : history_.possible_executions == 0 && !history_.response_started
                       ? next_step::refuse
                       : next_step::fail;
        }
        if (step == next_step::try_another &&
            (stopping_ || state_.quarantine.contains(decoded_.shared_prompt, state_.time.now())))
        {
            step = outcome == endpoint_outcome::failed ? next_step::deliver
                   : history_.possible_executions == 0 ? next_step::refuse
                                                       : next_step::fail;
        }
        if (step != next_step::try_another)
        {
            co_await finish_after_failure(step, outcome);
            co_return;
        }
    }
}

awaitable<void> exchange::finish_after_failure(next_step step, endpoint_outcome outcome)
{
    if (history_.response_started)
    {
        record_end("stream_cut", 0);
        caller_.abort();
        co_return;
    }
    if (step == next_step::deliver && promises_no_execution(response_.head.status))
    {
        // The endpoint did not state that it has not executed the request, so its status would tell
        // the caller more than is known.
        co_await send_error(502, errc::outcome_unknown, execution::unknown, std::nullopt);
        co_return;
    }
    if (step == next_step::deliver)
    {
        http_response response = state_.codec.encode_response(response_.head);
        response.body = std::move(response_body_);
        record_end("endpoint_failed", response.status);
        co_await caller_.send(std::move(response));
        co_return;
    }
    if (step == next_step::refuse && history_.possible_executions == 0)
    {
        const bool unreachable = outcome == endpoint_outcome::unreachable;
        millis retry_after = refusal_delay(retry_after_overload);
        if (first_return_)
        {
            // Later than that the caller would have too little time left for another try.
            retry_after = std::min(*first_return_, std::max(millis{0}, time_left() / 3));
        }
        co_await send_error(503, unreachable ? errc::no_endpoint : errc::overloaded,
                            execution::not_run, retry_after);
        co_return;
    }
    const bool out_of_time = time_left() <= millis{5};
    co_await send_error(out_of_time ? 504 : 502,
                        out_of_time ? errc::deadline_exceeded : errc::outcome_unknown,
                        execution::unknown, std::nullopt);
}

} // namespace endivestage::serving
