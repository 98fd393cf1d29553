#include <endivestage/serving/exchange.hpp>

#include <endivestage/daemon/logging.hpp>

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
/// Responses to other requests that are skipped on one connection.
constexpr int max_mismatched_responses = 3;
/// Setting up a copy from another engine takes a few milliseconds, as long as processing this many
/// tokens.
constexpr std::uint32_t min_copied_tokens = 100;
constexpr std::size_t max_body_bytes = 16UL * 1024 * 1024;
/// Retry delay when this router's copy of the tables is too old. Another router can serve the
/// request at once.
constexpr millis retry_after_stale_copy{50};
/// Retry delay while this router starts. It reads its tables within tens of milliseconds; when all
/// routers start at the same time, no other router is ready either.
constexpr millis retry_after_starting{300};
/// Retry delay while this router stops. Other routers can serve the request at once.
constexpr millis retry_after_stopping{50};
/// Retry delay when endpoints refuse requests; they must complete some of their work first.
constexpr millis retry_after_overload{250};

std::string join_hashes(std::span<const prompt_part> parts)
{
    std::string text;
    for (const prompt_part& part : parts)
    {
        text += (text.empty() ? "" : ",") + std::to_string(part.hash);
    }
    return text;
}

// A connection can end although its engine is well, so an engine counts as crashed only if its host
// refuses a new connection. No answer may as well be the network's fault.
awaitable<void> report_crash(boost::asio::any_io_executor executor, router_state& state,
                             endpoint_record engine, std::vector<prompt_part> parts)
{
    const time_point broken_at = state.time.now();
    daemon::http_connection probe(std::move(executor));
    daemon::network_address address{engine.host, engine.port};
    const std::error_code ec =
        co_await probe.connect(std::move(address), connect_timeout, unacknowledged_timeout);
    if (!ec || !probe.refused())
    {
        co_return;
    }
    const std::uint64_t crash =
        hash64(engine.id.view(), static_cast<std::uint64_t>(engine.started_at));
    const time_point now = state.time.now();
    state.announce(state.quarantine.record_crash(parts, crash, now - broken_at, now));
    log_event(log_level::warning, "engine_crashed",
              {{"endpoint", engine.id},
               {"parts", join_hashes(parts)},
               {"quarantined", state.quarantine.contains(parts, state.time.now())},
               {"confirmed_after_ms", state.time.now() - broken_at}});
}

} // namespace

exchange::exchange(boost::asio::any_io_executor executor, router_state& state, http_request request,
                   caller_request decoded, daemon::response_writer& caller)
    : executor_(std::move(executor)),
      state_(state),
      request_(std::move(request)),
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
    routes_ = state_.routes;
    if (!routes_ || state_.lifecycle == lifecycle_state::starting)
    {
        co_await send_error(503, errc::store_unavailable, execution::not_run, retry_after_starting);
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
    if (co_await refuse_quarantined())
    {
        co_return;
    }
    service_ = choose_target(*route_, decoded_.chat_hash.value_or(hash64(decoded_.id.view())));
    profile_ = routes_->find_service(service_);
    std::weak_ptr<exchange> weak_self = weak_from_this();
    caller_.on_caller_left(
        [weak_self]
        {
            const std::shared_ptr<exchange> self = weak_self.lock();
            if (self)
            {
                self->caller_left_ = true;
                if (self->connection_)
                {
                    self->connection_->close();
                }
            }
        });
    co_await try_endpoints();
}

void exchange::stop()
{
    if (history_.response_started)
    {
        return;
    }
    stopping_ = true;
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
    endpoint_choice_input input;
    input.endpoints = usable.endpoints;
    input.tried = tried_;
    input.now = now;
    input.chat_hash = decoded_.chat_hash;
    input.prefixes = &state_.prefixes;
    input.tie_breaker = state_.random.next();
    if (decoded_.chat_hash)
    {
        rendezvous_pair_ = find_rendezvous_pair(available, *decoded_.chat_hash);
    }
    for (const endpoint_state* endpoint : rank_endpoints(state_.endpoints, input, state_.choice))
    {
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

bool exchange::is_usable(const endpoint_record& endpoint) const
{
    const time_point now = state_.time.now();
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
    const auto usable = [&](std::uint64_t hash)
    {
        const endpoint_state* engine = state_.endpoints.find_by_hash(hash);
        return engine != nullptr && hash != target_hash && now >= engine->avoid_until &&
               engine->consecutive_failures == 0;
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
    for (;;)
    {
        if (caller_left_)
        {
            end_without_caller();
            co_return;
        }
        const endpoint_state* chosen = choose_endpoint();
        if (chosen == nullptr)
        {
            co_await finish_after_failure(next_step::refuse, endpoint_outcome::shed);
            co_return;
        }
        const endpoint_record endpoint = chosen->record;
        if (history_.sends == 0)
        {
            budget.record_first_send(state_.time.now());
        }
        tried_.push_back(endpoint.id);
        last_endpoint_ = endpoint.id;
        state_.endpoints.begin_request(endpoint.id);
        const endpoint_outcome outcome = co_await attempt(endpoint);
        const millis cold_period = profile_ != nullptr ? profile_->cold_period : millis{0};
        if (caller_left_)
        {
            state_.endpoints.end_request(endpoint.id, endpoint_outcome::shed, state_.time.now(),
                                         millis{0});
            end_without_caller();
            co_return;
        }
        state_.endpoints.end_request(endpoint.id, outcome, state_.time.now(), cold_period);
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
        millis retry_after = retry_after_overload;
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

awaitable<bool> exchange::open_connection(endpoint_record endpoint)
{
    const bool executed_once =
        route_->semantics == execution_semantics::at_most_once && !route_->streaming;
    connection_ = state_.pool.acquire(endpoint.id,
                                      executed_once ? max_idle_time_at_most_once : max_idle_time);
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
    log_placement(info);
    const millis max_wait = first_response_timeout(*route_, history_, time);
    ++history_.sends;
    response_share_.release();
    beyond_first_event_ = false;
    connection_->send(state_.codec.encode_request(request_, info));
    const endpoint_outcome outcome = co_await read_response(endpoint, max_wait);
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

void exchange::record_served_prompt()
{
    if (std::exchange(prompt_served_, true))
    {
        return;
    }
    state_.announce(state_.quarantine.record_served(decoded_.shared_prompt, state_.time.now()));
}

void exchange::log_placement(const forwarding_info& info) const
{
    const endpoint_state* endpoint = state_.endpoints.find(info.endpoint);
    const time_point now = state_.time.now();
    log_event(
        log_level::info, "request_placed",
        {{"request", decoded_.id},
         {"route", route_->name},
         {"endpoint", info.endpoint},
         {"load", endpoint != nullptr ? state_.endpoints.estimated_load(*endpoint, now) : 0.0},
         {"cold", endpoint != nullptr && endpoint->is_cold(now)},
         {"history",
          decoded_.chat_hash &&
              state_.prefixes.holds(*decoded_.chat_hash, hash64(info.endpoint.view()), now)},
         {"copy_from", info.copy_from ? to_string(*info.copy_from) : std::string()},
         {"send", history_.sends + 1},
         {"config", routes_->version()},
         {"copy_age_ms", state_.operations_lease.age(now).value_or(millis{-1})},
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

void exchange::record_endpoint_state(const endpoint_record& endpoint, const response_info& info)
{
    const time_point now = state_.time.now();
    if (info.load)
    {
        state_.endpoints.record_load_report(endpoint.id, *info.load, now);
    }
    if (info.cold_left && *info.cold_left > millis{0})
    {
        state_.endpoints.record_cold_report(endpoint.id, *info.cold_left, now);
    }
    // Another endpoint answered if the address belongs to it.
    if (!info.misdirected)
    {
        record_notices(endpoint, info);
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
        co_return endpoint_outcome::broken;
    }
    record_endpoint_state(endpoint, response->info);
    if (!response->info.success || !response->info.is_event_stream)
    {
        response_ = std::move(*response);
        co_return co_await forward_body();
    }
    if (!history_.response_started)
    {
        // A resumed stream keeps the response head of its first engine.
        response_ = std::move(*response);
    }
    framer_.restart();
    co_return co_await forward_events(first_event_deadline);
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

awaitable<endpoint_outcome> exchange::forward_body()
{
    result<std::string> body = co_await read_response_body(time_left());
    const response_info& info = response_.info;
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
    if (response_.head.status >= 500)
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
            co_return endpoint_outcome::broken;
        }
        const bool end = chunk->empty();
        if (end && framer_.ends_inside_event())
        {
            co_return endpoint_outcome::broken;
        }
        std::string events = end ? framer_.take_remainder() : framer_.add(*chunk);
        if (framer_.is_broken())
        {
            co_return endpoint_outcome::broken;
        }
        if (!response_share_.resize(framer_.pending_bytes()))
        {
            log_too_large();
            co_return endpoint_outcome::broken;
        }
        if (!events.empty())
        {
            if (first)
            {
                state_.metrics.record_first_event(state_.time.now() - request_.received);
                // The first event shows that the engine has processed the prompt and caches it.
                record_prefixes(last_endpoint_);
            }
            else
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
        if (end)
        {
            if (!history_.response_started)
            {
                co_return endpoint_outcome::broken;
            }
            record_served_prompt();
            record_end("served", response_.head.status);
            co_await caller_.end();
            co_return endpoint_outcome::served;
        }
    }
}

} // namespace endivestage::serving
