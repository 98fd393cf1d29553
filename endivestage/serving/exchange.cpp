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

/// A host answers a connection request within a few round trips or is away; the platform's zones
/// are a millisecond apart.
constexpr millis connect_timeout{250};
/// Sent bytes that stay unacknowledged so long mean a host or a path that is gone.
constexpr millis silence_timeout{700};
/// Endpoints state how long they keep idle connections; without a statement this is assumed.
constexpr millis assumed_idle_timeout{30000};
/// A request that must not be repeated takes no connection that may have been dropped unnoticed.
constexpr millis fresh_enough{1500};
constexpr millis any_idle_time{60000};
/// Answers of another request that are skipped on one connection.
constexpr int most_foreign_answers = 3;
/// Copying from another engine costs a set-up of a few milliseconds, as reading these tokens does.
constexpr std::uint32_t least_copied_tokens = 100;
constexpr std::size_t answer_limit_bytes = 16UL * 1024 * 1024;
/// Another router can take the request at once.
constexpr millis retry_elsewhere{50};
/// A router reads its tables in tens of milliseconds; when all start at once no other is ready.
constexpr millis retry_after_start{300};
/// Endpoints that turn requests away need some of their work to end first.
constexpr millis retry_when_relieved{250};

} // namespace

exchange::exchange(boost::asio::any_io_executor executor, router_state& state, http_request request,
                   caller_request decoded, daemon::response_writer& caller)
    : executor_(std::move(executor)),
      state_(state),
      request_(std::move(request)),
      decoded_(std::move(decoded)),
      caller_(caller)
{
}

millis exchange::time_left() const
{
    return end_ - state_.time.now();
}

awaitable<void> exchange::fail(int status, errc code, execution state,
                               std::optional<millis> retry_after)
{
    http_response answer = state_.codec.encode_error(status, code, state, retry_after);
    log_end(to_string(code), status);
    co_await caller_.send(std::move(answer));
}

void exchange::log_end(std::string_view result, int status) const
{
    const millis took = state_.time.now() - request_.received;
    const bool streaming = route_ != nullptr && route_->streaming;
    state_.metrics.record_request(result, streaming, took);
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
         {"took_ms", took}});
}

awaitable<void> exchange::run()
{
    routes_ = state_.routes;
    if (!routes_ || state_.lifecycle == lifecycle_state::starting)
    {
        co_await fail(503, errc::store_unavailable, execution::not_run, retry_after_start);
        co_return;
    }
    route_ = routes_->find(decoded_.host, decoded_.path);
    if (route_ == nullptr || route_->targets.empty())
    {
        co_await fail(404, errc::not_found, execution::not_run, std::nullopt);
        co_return;
    }
    priority_ = route_->priority;
    const bool keyed = routes_->requires_keys() && !route_->anonymous;
    // What was withdrawn may be unknown here: without a current copy nothing is permitted.
    if (!state_.operations_lease.is_valid(state_.time.now()))
    {
        co_await fail(503, errc::store_unavailable, execution::not_run, retry_elsewhere);
        co_return;
    }
    if (keyed)
    {
        const team_access* team = routes_->find_team(decoded_.api_key);
        if (team == nullptr)
        {
            co_await fail(401, errc::unauthorized, execution::not_run, std::nullopt);
            co_return;
        }
        team_ = team->name;
        priority_ = team->priority.value_or(priority_);
    }
    end_ = request_.received + route_->timeout;
    if (decoded_.timeout && *decoded_.timeout < route_->timeout)
    {
        end_ = request_.received + *decoded_.timeout;
    }
    service_ = choose_target(*route_, decoded_.chat_hash.value_or(hash64(decoded_.id.view())));
    profile_ = routes_->find_service(service_);
    std::weak_ptr<exchange> self = weak_from_this();
    caller_.on_caller_left(
        [self]
        {
            const std::shared_ptr<exchange> alive = self.lock();
            if (alive)
            {
                alive->caller_left_ = true;
                if (alive->connection_)
                {
                    alive->connection_->close();
                }
            }
        });
    co_await try_endpoints();
}

const endpoint_state* exchange::choose_endpoint()
{
    const time_point now = state_.time.now();
    const std::vector<const endpoint_state*> available = state_.endpoints.available(service_, now);
    endpoint_choice_input input;
    input.endpoints = available;
    input.tried = tried_;
    input.now = now;
    input.chat_hash = decoded_.chat_hash;
    input.prefixes = &state_.prefixes;
    input.tie_breaker = state_.random.next();
    if (decoded_.chat_hash)
    {
        homes_ = find_rendezvous_pair(available, *decoded_.chat_hash);
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
        decoded_.shared_prompt, target_hash, usable, least_copied_tokens, now);
    const bool unknown = decoded_.chat_hash && !state_.prefixes.contains(*decoded_.chat_hash, now);
    if (!source && unknown)
    {
        // Others may have served the chat at its home; when an engine joined, at the second one.
        source = homes_.first == target_hash ? homes_.second : homes_.first;
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
        const endpoint_state* chosen = choose_endpoint();
        if (chosen == nullptr)
        {
            co_await finish_undelivered(next_step::refuse, endpoint_outcome::shed);
            co_return;
        }
        const endpoint_record to = chosen->record;
        if (history_.sends == 0)
        {
            budget.record_first_send(state_.time.now());
        }
        tried_.push_back(to.id);
        last_endpoint_ = to.id;
        state_.endpoints.begin_request(to.id);
        const endpoint_outcome outcome = co_await attempt(to);
        const millis cold_period = profile_ != nullptr ? profile_->cold_period : millis{0};
        if (caller_left_)
        {
            state_.endpoints.end_request(to.id, endpoint_outcome::shed, state_.time.now(),
                                         millis{0});
            log_end("caller_left", 0);
            caller_.abort();
            co_return;
        }
        state_.endpoints.end_request(to.id, outcome, state_.time.now(), cold_period);
        state_.metrics.record_attempt(outcome);
        if (outcome == endpoint_outcome::served)
        {
            co_return;
        }
        log_event(log_level::info, "attempt_failed",
                  {{"request", decoded_.id},
                   {"endpoint", to.id},
                   {"outcome", to_string(outcome)},
                   {"reused", reused_},
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
        if (step != next_step::try_another)
        {
            co_await finish_undelivered(step, outcome);
            co_return;
        }
    }
}

awaitable<void> exchange::finish_undelivered(next_step step, endpoint_outcome outcome)
{
    if (history_.response_started)
    {
        log_end("stream_cut", 0);
        caller_.abort();
        co_return;
    }
    if (step == next_step::deliver)
    {
        http_response answer = state_.codec.encode_response(answer_.head);
        answer.body = std::move(body_);
        log_end("endpoint_failed", answer.status);
        co_await caller_.send(std::move(answer));
        co_return;
    }
    if (step == next_step::refuse && history_.possible_executions == 0)
    {
        const bool none = outcome == endpoint_outcome::unreachable;
        co_await fail(503, none ? errc::no_endpoint : errc::overloaded, execution::not_run,
                      retry_when_relieved);
        co_return;
    }
    const bool out_of_time = time_left() <= millis{5};
    co_await fail(out_of_time ? 504 : 502,
                  out_of_time ? errc::deadline_exceeded : errc::outcome_unknown, execution::unknown,
                  std::nullopt);
}

awaitable<bool> exchange::open_connection(endpoint_record to)
{
    const bool once = route_->semantics == execution_semantics::at_most_once && !route_->streaming;
    connection_ = state_.pool.acquire(to.id, once ? fresh_enough : any_idle_time);
    reused_ = connection_ != nullptr;
    if (reused_)
    {
        co_return true;
    }
    connection_ = std::make_shared<daemon::http_connection>(executor_);
    daemon::network_address address;
    address.host = to.host;
    address.port = to.port;
    const millis timeout = std::min(connect_timeout, time_left());
    const std::error_code ec =
        co_await connection_->connect(std::move(address), timeout, silence_timeout);
    state_.metrics.record_connection(!ec);
    co_return !ec;
}

awaitable<endpoint_outcome> exchange::attempt(endpoint_record to)
{
    if (!co_await open_connection(to))
    {
        ++history_.connect_failures;
        state_.pool.close_all(to.id);
        co_return endpoint_outcome::unreachable;
    }
    time_budget time;
    time.remaining = time_left();
    time.latency_objective = route_->latency_objective;
    if (caller_left_ || time.remaining <= millis{0})
    {
        co_return endpoint_outcome::shed;
    }
    forwarding_info info;
    info.endpoint = to.id;
    info.team = team_;
    info.priority = priority_;
    info.time_left = time.remaining;
    info.last_event_id = framer_.last_event_id() ? framer_.last_event_id() : decoded_.last_event_id;
    info.copy_from = find_copy_source(to.id);
    log_placed(info);
    const millis wait = first_response_timeout(*route_, history_, time);
    ++history_.sends;
    connection_->send(state_.codec.encode_request(request_, info));
    const endpoint_outcome outcome = co_await read_answer(to, wait);
    if (outcome != endpoint_outcome::shed && outcome != endpoint_outcome::misdirected)
    {
        ++history_.possible_executions;
    }
    if (outcome != endpoint_outcome::broken)
    {
        keep_connection(to.id);
    }
    else
    {
        connection_->close();
    }
    connection_.reset();
    co_return outcome;
}

void exchange::log_placed(const forwarding_info& info) const
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

void exchange::keep_connection(const endpoint_id& endpoint)
{
    if (connection_->reusable())
    {
        state_.pool.release(endpoint, connection_,
                            answer_.meaning.idle_timeout.value_or(assumed_idle_timeout));
    }
    else
    {
        connection_->close();
    }
}

awaitable<result<exchange::incoming>> exchange::read_own_head(millis wait)
{
    const time_point until = state_.time.now() + wait;
    for (int n = 0; n <= most_foreign_answers; ++n)
    {
        result<http_response> head = co_await connection_->read_head(until - state_.time.now());
        if (!head)
        {
            co_return head.error();
        }
        incoming answer;
        answer.meaning = state_.codec.decode_response(*head, decoded_.id);
        answer.head = std::move(*head);
        if (answer.meaning.matches_request)
        {
            co_return answer;
        }
        log_event(log_level::warning, "foreign_answer",
                  {{"request", decoded_.id},
                   {"endpoint", last_endpoint_},
                   {"status", answer.head.status}});
        result<std::string> skipped =
            co_await daemon::read_body(*connection_, until - state_.time.now(), answer_limit_bytes);
        if (!skipped)
        {
            co_return skipped.error();
        }
    }
    co_return make_error_code(errc::answer_mismatch);
}

void exchange::note_head(const endpoint_id& endpoint, const response_info& meaning)
{
    const time_point now = state_.time.now();
    if (meaning.load)
    {
        state_.endpoints.record_load_report(endpoint, *meaning.load, now);
    }
    if (meaning.cold_left && *meaning.cold_left > millis{0})
    {
        state_.endpoints.record_cold_report(endpoint, *meaning.cold_left, now);
    }
}

awaitable<endpoint_outcome> exchange::read_answer(endpoint_record from, millis wait)
{
    const time_point first_until = state_.time.now() + wait;
    result<incoming> answer = co_await read_own_head(wait);
    if (!answer)
    {
        co_return endpoint_outcome::broken;
    }
    note_head(from.id, answer->meaning);
    if (!answer->meaning.success || !answer->meaning.is_event_stream)
    {
        answer_ = std::move(*answer);
        co_return co_await pass_body();
    }
    if (!history_.response_started)
    {
        // A stream that continues keeps the head of its first engine.
        answer_ = std::move(*answer);
    }
    framer_.restart();
    co_return co_await pass_events(first_until - state_.time.now());
}

awaitable<endpoint_outcome> exchange::pass_body()
{
    result<std::string> body =
        co_await daemon::read_body(*connection_, time_left(), answer_limit_bytes);
    const response_info& meaning = answer_.meaning;
    if (meaning.misdirected)
    {
        co_return endpoint_outcome::misdirected;
    }
    if (meaning.not_executed)
    {
        co_return endpoint_outcome::shed;
    }
    if (!body)
    {
        co_return endpoint_outcome::broken;
    }
    body_ = std::move(*body);
    if (answer_.head.status >= 500)
    {
        co_return endpoint_outcome::failed;
    }
    if (history_.response_started || !meaning.from_endpoint)
    {
        co_return endpoint_outcome::broken;
    }
    http_response complete = state_.codec.encode_response(answer_.head);
    complete.body = std::move(body_);
    log_end("served", complete.status);
    co_await caller_.send(std::move(complete));
    co_return endpoint_outcome::served;
}

void exchange::note_history(const endpoint_id& engine)
{
    const std::uint64_t hash = hash64(engine.view());
    for (const prefix_sighting& seen :
         state_.prefixes.record_served(decoded_.shared_prompt, hash, state_.time.now()))
    {
        state_.pending_sightings.push_back(seen);
    }
}

awaitable<bool> exchange::deliver_events(std::string events)
{
    if (!history_.response_started)
    {
        history_.response_started = true;
        http_response head = state_.codec.encode_response(answer_.head);
        const std::error_code ec = co_await caller_.begin(std::move(head));
        if (ec)
        {
            co_return false;
        }
    }
    const std::error_code ec = co_await caller_.write(events);
    co_return !ec;
}

awaitable<endpoint_outcome> exchange::pass_events(millis first_wait)
{
    bool first = true;
    for (;;)
    {
        const millis wait = first ? std::min(first_wait, time_left()) : time_left();
        result<std::string> part = co_await connection_->read_some(wait);
        if (!part)
        {
            co_return endpoint_outcome::broken;
        }
        const bool end = part->empty();
        std::string events = end ? framer_.take_remainder() : framer_.add(*part);
        if (framer_.is_broken())
        {
            co_return endpoint_outcome::broken;
        }
        if (!events.empty())
        {
            if (first)
            {
                state_.metrics.record_first_event(state_.time.now() - request_.received);
                // The first event shows that the prompt was read.
                note_history(last_endpoint_);
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
            log_end("served", answer_.head.status);
            co_await caller_.end();
            co_return endpoint_outcome::served;
        }
    }
}

} // namespace endivestage::serving
