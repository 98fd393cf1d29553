#include <endivestage/daemon/service_caller.hpp>

#include <endivestage/daemon/digest.hpp>
#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace endivestage::daemon
{

namespace
{

constexpr millis connect_timeout{1000};
constexpr std::uint32_t max_attempts = 4;
constexpr backoff_config call_backoff{millis{25}, millis{1000}};

std::string body_digest(const service_request& request)
{
    return sha256_hex(request.method + "\n" + request.service.str() + "\n" + request.path + "\n" +
                      request.body);
}

std::string new_attempt_id(random_source& random)
{
    return std::to_string(random.next()) + "-" + std::to_string(random.next());
}

http_request make_call(const service_request& request)
{
    http_request call;
    call.method = request.method;
    call.target = request.path;
    call.body = request.body;
    call.fields.emplace_back("X-Request-Id", request.request.str());
    if (!request.content_type.empty())
    {
        call.fields.emplace_back("Content-Type", request.content_type);
    }
    if (!request.key.empty())
    {
        call.fields.emplace_back("Idempotency-Key", request.key);
    }
    return call;
}

bool is_reached(const endpoint_outcome& what)
{
    return !std::holds_alternative<endpoint_not_reached>(what);
}

} // namespace

service_caller::service_caller(node_context& node, configuration_service& configuration)
    : node_(node),
      configuration_(configuration)
{
}

current_time service_caller::present() const
{
    return {node_.time.now(), node_.time.wall_now()};
}

awaitable<void> service_caller::answer(service_request request, response_writer& writer)
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    const service* known = configuration ? configuration->find(request.service) : nullptr;
    if (known == nullptr)
    {
        http_response refused =
            make_error_response({errc::not_found, execution::not_run, "no such service", {}});
        co_await writer.send(std::move(refused));
        co_return;
    }
    const std::string path = request.path.substr(0, request.path.find('?'));
    const service_route* route = known->find_route(request.method, path);
    if (route == nullptr)
    {
        http_response refused = make_error_response(
            {errc::not_found, execution::not_run, "the service has no such route", {}});
        co_await writer.send(std::move(refused));
        co_return;
    }
    node_.events.record(event_kind::request_received,
                        {{"team", request.team.str()}, {"service", request.service.str()}},
                        request.request);
    if (route->idempotent)
    {
        co_await answer_idempotent(std::move(request), writer);
    }
    else
    {
        co_await answer_once(std::move(request), writer);
    }
}

// Picks the endpoint with the fewest calls of this router among two random ones: each router sees
// a small part of the calls, and two choices keep the largest share small without more knowledge.
std::optional<usable_endpoint> service_caller::choose(const service_id& service,
                                                      const std::set<endpoint_id>& excluded)
{
    std::vector<usable_endpoint> usable = configuration_.usable(service);
    std::erase_if(usable, [&excluded](const usable_endpoint& entry)
                  { return excluded.contains(entry.id); });
    if (usable.empty())
    {
        return std::nullopt;
    }
    const usable_endpoint& first = usable[node_.random.below(usable.size())];
    const usable_endpoint& second = usable[node_.random.below(usable.size())];
    const std::scoped_lock lock(mutex_);
    const usable_endpoint& chosen =
        outstanding_[second.id] < outstanding_[first.id] ? second : first;
    ++outstanding_[chosen.id];
    return chosen;
}

void service_caller::finish(const endpoint_id& endpoint)
{
    const std::scoped_lock lock(mutex_);
    const auto it = outstanding_.find(endpoint);
    if (--it->second == 0)
    {
        outstanding_.erase(it);
    }
}

bool service_caller::may_retry(const service_id& service)
{
    const std::scoped_lock lock(mutex_);
    return budget(service).try_acquire();
}

// The mutex must be held.
retry_budget& service_caller::budget(const service_id& service)
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    retry_budget_config policy;
    policy.refill_per_attempt =
        configuration ? configuration->limits.retry_ratio : policy.refill_per_attempt;
    return budgets_.try_emplace(service, policy).first->second;
}

awaitable<service_caller::call_outcome> service_caller::call(const service_request& request,
                                                             const std::set<endpoint_id>& excluded,
                                                             endpoint_id& used)
{
    const std::optional<usable_endpoint> target = choose(request.service, excluded);
    if (!target)
    {
        co_return call_outcome{};
    }
    used = target->id;
    call_outcome outcome = co_await send(request, *target);
    finish(target->id);
    co_return outcome;
}

awaitable<service_caller::call_outcome> service_caller::send(const service_request& request,
                                                             const usable_endpoint& target)
{
    call_outcome outcome;
    http_exchange exchange(co_await boost::asio::this_coro::executor);
    const network_address address{target.host, target.port};
    const millis before = request.deadline - node_.time.now();
    const std::error_code ec =
        co_await exchange.connect(address, std::min(connect_timeout, before));
    configuration_.on_connection(target.id, !ec);
    const millis remaining = request.deadline - node_.time.now();
    if (ec || remaining.count <= 0)
    {
        if (ec)
        {
            configuration_.on_probe(target.id, false);
        }
        co_return outcome;
    }
    node_.events.record(event_kind::request_sent, {}, request.request, target.id);
    outcome.what = endpoint_connection_lost{};
    result<http_response> head = co_await exchange.start(make_call(request), remaining);
    if (!head || find_field(head->fields, "X-Request-Id") != request.request.view())
    {
        co_return outcome;
    }
    endpoint_answered answered{{head->status, {}}};
    for (;;)
    {
        const result<std::string> part = co_await exchange.read_some(remaining);
        if (!part)
        {
            co_return outcome;
        }
        if (part->empty())
        {
            break;
        }
        answered.result.body += *part;
    }
    outcome.content_type = std::string(find_field(head->fields, "Content-Type"));
    outcome.what = std::move(answered);
    co_return outcome;
}

awaitable<void> service_caller::answer_idempotent(service_request request, response_writer& writer)
{
    {
        const std::scoped_lock lock(mutex_);
        budget(request.service).record_first_attempt();
    }
    std::set<endpoint_id> excluded;
    bool reached = false;
    for (std::uint32_t attempt = 1;; ++attempt)
    {
        endpoint_id used;
        const call_outcome outcome = co_await call(request, excluded, used);
        if (const endpoint_answered* answered = std::get_if<endpoint_answered>(&outcome.what))
        {
            http_response response;
            response.status = answered->result.status;
            response.fields.emplace_back("Content-Type", outcome.content_type);
            response.fields.emplace_back("X-Request-Id", request.request.str());
            response.body = answered->result.body;
            co_await writer.send(std::move(response));
            co_return;
        }
        reached = reached || is_reached(outcome.what);
        const millis delay = retry_backoff(call_backoff, attempt, node_.random);
        if (attempt >= max_attempts || node_.time.now() + delay >= request.deadline ||
            !may_retry(request.service))
        {
            break;
        }
        // With every endpoint tried, a second call to one of them may still succeed.
        if (used.empty())
        {
            excluded.clear();
        }
        else
        {
            excluded.insert(used);
        }
        node_.events.record(event_kind::request_retried, {{"attempt", std::to_string(attempt)}},
                            request.request, used);
        co_await sleep_for(delay);
    }
    caller_error error;
    error.code = reached ? errc::outcome_unknown : errc::no_endpoint;
    error.ran = reached ? execution::unknown : execution::not_run;
    error.retry_after = millis{1000};
    http_response failed = make_error_response(error);
    co_await writer.send(std::move(failed));
}

awaitable<void> service_caller::answer_once(service_request request, response_writer& writer)
{
    if (request.key.empty())
    {
        http_response refused = make_error_response(
            {errc::invalid_request,
             execution::not_run,
             "this call needs an Idempotency-Key header: a UUID of version 7 or <ms>-<text>",
             {}});
        co_await writer.send(std::move(refused));
        co_return;
    }
    attempt_request wanted;
    wanted.team = request.team;
    wanted.key = request.key;
    wanted.body_digest = body_digest(request);
    wanted.attempt = attempt_id(new_attempt_id(node_.random));
    wanted.router = node_.settings.id;
    wanted.deadline = request.deadline;
    wanted.repeated = !request.first_try;
    request_attempt attempt(std::move(wanted), limits_, node_.random);
    attempt_actions first = attempt.start(present());
    std::deque<attempt_action> due(first.begin(), first.end());
    while (!due.empty())
    {
        attempt_action action = std::move(due.front());
        due.pop_front();
        attempt_actions next = co_await perform(attempt, std::move(action), request, writer);
        due.insert(due.end(), next.begin(), next.end());
    }
}

awaitable<attempt_actions> service_caller::perform(request_attempt& attempt, attempt_action action,
                                                   const service_request& request,
                                                   response_writer& writer)
{
    if (submit_operation* submit = std::get_if<submit_operation>(&action))
    {
        const millis wait = submit->not_before - node_.time.now();
        if (wait.count > 0)
        {
            co_await sleep_for(wait);
        }
        const table_result answer = co_await node_.platform.table(submit->operation);
        co_return attempt.on_table_result(answer, present());
    }
    if (std::holds_alternative<send_to_endpoint>(action))
    {
        endpoint_id used;
        const std::set<endpoint_id> none;
        const call_outcome outcome = co_await call(request, none, used);
        co_return attempt.on_endpoint_outcome(outcome.what, present());
    }
    if (const answer_caller* answer = std::get_if<answer_caller>(&action))
    {
        co_await reply(*answer, request, writer);
    }
    co_return attempt_actions{};
}

awaitable<void> service_caller::reply(const answer_caller& answer, const service_request& request,
                                      response_writer& writer)
{
    node_.events.record(answer.error == errc::ok ? event_kind::request_answered
                                                 : event_kind::request_failed,
                        {{"error", std::string(to_string(answer.error))},
                         {"execution", std::string(to_string(answer.ran))}},
                        request.request);
    if (answer.error == errc::ok)
    {
        http_response response = make_json_response(answer.result.body, answer.result.status);
        response.body.pop_back();
        response.fields.emplace_back("X-Request-Id", request.request.str());
        co_await writer.send(std::move(response));
        co_return;
    }
    caller_error error;
    error.code = answer.error;
    error.ran = answer.ran;
    const bool may_help = answer.ran == execution::not_run || answer.error == errc::outcome_pending;
    if (may_help && http_status(answer.error) >= 409 && answer.error != errc::key_reused &&
        answer.error != errc::key_expired)
    {
        error.retry_after = millis{1000};
    }
    http_response response = make_error_response(error);
    co_await writer.send(std::move(response));
}

awaitable<result<ledger_entry>> service_caller::show(team_id team, std::string key)
{
    table_operation read;
    read.key = row_key(team, key);
    table_result found = co_await node_.platform.table(read);
    if (found.what == table_result::outcome::applied)
    {
        std::optional<table_operation> settling =
            settle_expired(found.row, node_.time.wall_now(), limits_);
        if (settling)
        {
            co_await node_.platform.table(std::move(*settling));
            found = co_await node_.platform.table(read);
        }
    }
    if (found.what == table_result::outcome::not_found)
    {
        co_return make_error_code(errc::not_found);
    }
    if (found.what != table_result::outcome::applied)
    {
        co_return make_error_code(errc::store_unavailable);
    }
    const result<ledger_row> row = decode_row(found.row.value);
    if (!row)
    {
        co_return row.error();
    }
    co_return ledger_entry{read.key, *row};
}

awaitable<result<std::vector<ledger_entry>>> service_caller::list(team_id team)
{
    const std::string prefix = team.empty() ? "request/" : row_key(team, "");
    const result<std::vector<table_row>> rows = co_await node_.platform.rows(prefix);
    if (!rows)
    {
        co_return rows.error();
    }
    std::vector<ledger_entry> entries;
    for (const table_row& row : *rows)
    {
        const result<ledger_row> value = decode_row(row.value);
        if (value)
        {
            entries.push_back({row.key, *value});
        }
    }
    co_return entries;
}

awaitable<errc> service_caller::settle(team_id team, std::string key, ledger_state verdict)
{
    table_operation read;
    read.key = row_key(team, key);
    const table_result found = co_await node_.platform.table(read);
    if (found.what != table_result::outcome::applied)
    {
        co_return found.what == table_result::outcome::not_found ? errc::not_found
                                                                 : errc::store_unavailable;
    }
    result<table_operation> write =
        settle_unknown(found.row, verdict, {200, "{}"}, node_.time.wall_now(), limits_);
    if (!write)
    {
        co_return to_errc(write.error());
    }
    const table_result answer = co_await node_.platform.table(std::move(*write));
    switch (answer.what)
    {
    case table_result::outcome::applied:
        co_return errc::ok;
    case table_result::outcome::conflict:
    case table_result::outcome::not_found:
        co_return errc::conflict;
    case table_result::outcome::lost:
        co_return errc::outcome_unknown;
    case table_result::outcome::unavailable:
        break;
    }
    co_return errc::store_unavailable;
}

} // namespace endivestage::daemon
