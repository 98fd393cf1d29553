#include <endivestage/daemon/admission_service.hpp>

#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/json_access.hpp>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <set>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr millis report_period{250};
constexpr millis report_timeout{500};
constexpr millis queue_tick{100};
constexpr millis ask_period{200};
/// A report that took longer is dropped: the process may have been paused, and the report shows a
/// state too old for the account of the load.
constexpr millis oldest_report{500};

engine_service_state to_service(endpoint_status status)
{
    switch (status)
    {
    case endpoint_status::leaving:
    case endpoint_status::gone:
    case endpoint_status::unknown:
        return engine_service_state::leaving;
    case endpoint_status::zone_out_of_service:
        return engine_service_state::out_of_service;
    case endpoint_status::suspected:
        return engine_service_state::suspected;
    case endpoint_status::held_down:
    case endpoint_status::usable:
        break;
    }
    return engine_service_state::in_service;
}

gate_config make_policy(const pool& source, const endpoint_entry& engine,
                        const fleet_configuration& configuration, const timing_settings& timing)
{
    gate_config policy;
    policy.capacity = engine.capacity;
    policy.bound.multiple = source.load_bound;
    policy.ramp.initial_permits = source.cold_start_permits;
    policy.ramp.first_token_target = source.first_token_target;
    policy.report_lag = timing.report_lag;
    policy.queue.max_waiting = configuration.limits.queue_per_team;
    for (const team& entry : configuration.teams)
    {
        policy.queue.weights[entry.id] =
            static_cast<std::uint32_t>(std::max(1.0, entry.weight + 0.5));
    }
    return policy;
}

engine_report decode_report(const json::object& body)
{
    engine_report report;
    report.running = static_cast<std::uint32_t>(get_unsigned(body, "running"));
    report.waiting = static_cast<std::uint32_t>(get_unsigned(body, "waiting"));
    report.incarnation = get_unsigned(body, "incarnation");
    report.warm = body.contains("cold") && !get_flag(body, "cold");
    return report;
}

} // namespace

admission_service::admission_service(node_context& node, configuration_service& configuration,
                                     cluster_service& cluster)
    : node_(node),
      configuration_(configuration),
      cluster_(cluster)
{
}

void admission_service::start()
{
    handle_calls();
    const auto loop = [this](millis period, void (admission_service::*work)())
    {
        spawn_loop(node_.io, period,
                   [this, work]() -> awaitable<void>
                   {
                       (this->*work)();
                       co_return;
                   });
    };
    loop(report_period, &admission_service::poll_engines);
    loop(ask_period, &admission_service::ask_holders);
    loop(node_.settings.timing.digest_period, &admission_service::send_digests);
    spawn_loop(node_.io, queue_tick,
               [this]() -> awaitable<void>
               {
                   for (const endpoint_id& engine : owned_engines())
                   {
                       tick_queue(engine);
                   }
                   co_return;
               });
}

// The gate drops tickets that are not renewed; their callers are told, so that they try again.
void admission_service::tick_queue(const endpoint_id& engine)
{
    std::vector<answer_callback> dropped;
    with_gate(engine,
              [&dropped](owned_engine& owned, time_point now)
              {
                  std::vector<queue_decision> decided = owned.gate.tick(now);
                  for (auto it = owned.waiting.begin(); it != owned.waiting.end();)
                  {
                      if (now - it->second.renewed <= permit_time_to_use + queue_tick)
                      {
                          ++it;
                          continue;
                      }
                      owned.gate.cancel(it->second.ticket);
                      dropped.push_back(std::move(it->second.done));
                      it = owned.waiting.erase(it);
                  }
                  return decided;
              });
    for (const answer_callback& done : dropped)
    {
        done(make_error_code(errc::overloaded));
    }
}

void admission_service::handle_calls()
{
    node_.rpc.handle("/permit/acquire",
                     [this](router_id from, const json::object& body) -> awaitable<rpc_answer>
                     {
                         result<acquire_message> message = decode_acquire(body);
                         if (!message)
                         {
                             co_return message.error();
                         }
                         // A new owner asks the members of its view which permits they hold; a
                         // permit of any other router would be missed (R6).
                         const view_pointer present = cluster_.view_now();
                         if (!present || find_member(present->members, from) == nullptr)
                         {
                             co_return make_error_code(errc::stale_view);
                         }
                         message->request.holder = from;
                         co_return co_await acquire_here(std::move(*message));
                     });
    node_.rpc.handle("/permit/renew",
                     [this](router_id from, const json::object& body) -> awaitable<rpc_answer>
                     {
                         const bool waits =
                             renew_local({from, request_id(get_text(body, "request"))},
                                         endpoint_id(get_text(body, "engine")),
                                         static_cast<std::uint32_t>(get_unsigned(body, "renewal")));
                         co_return json::object{{"waits", waits}};
                     });
    node_.rpc.handle(
        "/permit/release",
        [this](router_id, const json::object& body) -> awaitable<rpc_answer>
        {
            const permit_key key{get_unsigned(body, "view"), get_unsigned(body, "sequence")};
            const message_origin owner{router_id(get_text(body, "owner")),
                                       get_unsigned(body, "owner_incarnation")};
            release_local(endpoint_id(get_text(body, "engine")), key, owner, decode_outcome(body));
            co_return json::object{};
        });
    node_.rpc.handle("/permit/held",
                     [this](router_id, const json::object& body) -> awaitable<rpc_answer>
                     {
                         // Before it has adopted the asking owner's view, this router could still
                         // accept a permit of the previous owner after this answer.
                         const view_pointer present = cluster_.view_now();
                         if (!present || present->number < get_unsigned(body, "view"))
                         {
                             co_return make_error_code(errc::stale_view);
                         }
                         co_return encode(
                             report_held(endpoint_id(get_text(body, "engine")), present->number));
                     });
    node_.rpc.handle("/load/digest", [this](router_id from, const json::object& body)
                     { return on_digest(std::move(from), body); });
}

// The right to issue is read before the lock is taken, because the lock order puts the cluster
// first. It is then granted for one millisecond only, so that it cannot outlive the reading.
bool admission_service::with_gate(const endpoint_id& engine, const gate_work& work)
{
    const bool right = !cluster_.may_issue(engine);
    const view_pointer present = cluster_.view_now();
    pending_calls calls;
    {
        const std::scoped_lock lock(mutex_);
        const auto it = owned_.find(engine);
        if (it == owned_.end())
        {
            return false;
        }
        owned_engine& owned = it->second;
        const time_point now = node_.time.now();
        owned.view_number = present ? present->number : owned.view_number;
        const bool may_issue = right && owned.rebuild.is_complete();
        const time_point until = may_issue ? now + millis{1} : now;
        take_decisions(owned, owned.gate.set_confirmed(owned.view_number, until, now), calls);
        take_decisions(owned, work(owned, now), calls);
    }
    for (const std::function<void()>& call : calls)
    {
        call();
    }
    return true;
}

rpc_answer admission_service::make_answer(const permit& value) const
{
    return encode(granted_permit{value, cluster_.origin()});
}

void admission_service::take_decisions(owned_engine& owned, std::vector<queue_decision> decisions,
                                       pending_calls& calls) const
{
    while (!decisions.empty())
    {
        std::vector<queue_decision> more;
        for (queue_decision& decision : decisions)
        {
            const permit* issued = std::get_if<permit>(&decision.answer);
            const auto it = owned.waiting.find({decision.request.holder, decision.request.request});
            if (it == owned.waiting.end() || it->second.ticket != decision.ticket)
            {
                // A ticket of an earlier try of the request: nobody would use or return the permit.
                if (issued != nullptr)
                {
                    std::vector<queue_decision> freed =
                        owned.gate.release(issued->key, {}, node_.time.now());
                    more.insert(more.end(), freed.begin(), freed.end());
                }
                continue;
            }
            if (issued != nullptr)
            {
                note_issued(owned, *issued, node_.time.now());
            }
            rpc_answer answer =
                issued != nullptr ? make_answer(*issued) : rpc_answer(std::get<1>(decision.answer));
            calls.emplace_back([done = std::move(it->second.done), answer = std::move(answer)]
                               { done(answer); });
            owned.waiting.erase(it);
        }
        decisions = std::move(more);
    }
}

void admission_service::note_issued(owned_engine& owned, const permit& issued, time_point now) const
{
    owned.issued.emplace(issued.key, now);
}

void admission_service::acquire_local(const acquire_message& message, answer_callback done)
{
    std::optional<rpc_answer> immediate;
    answer_callback replaced;
    const auto work = [&](owned_engine& owned, time_point now) -> std::vector<queue_decision>
    {
        permit_request request = message.request;
        request.deadline = now + message.remaining;
        const permit_answer answer = owned.gate.acquire(request, now);
        if (const permit* issued = std::get_if<permit>(&answer))
        {
            note_issued(owned, *issued, now);
            immediate = make_answer(*issued);
        }
        else if (const queue_ticket* ticket = std::get_if<queue_ticket>(&answer))
        {
            waiting_caller& caller = owned.waiting[{request.holder, request.request}];
            if (caller.done)
            {
                // The holder asks again because its earlier call failed.
                owned.gate.cancel(caller.ticket);
                replaced = std::move(caller.done);
            }
            caller = waiting_caller{*ticket, done, now};
        }
        else
        {
            immediate = rpc_answer(std::get<std::error_code>(answer));
        }
        return {};
    };
    if (!with_gate(message.engine, work))
    {
        immediate = rpc_answer(make_error_code(errc::not_owner));
    }
    if (replaced)
    {
        replaced(make_error_code(errc::cancelled));
    }
    if (immediate)
    {
        done(std::move(*immediate));
    }
}

awaitable<rpc_answer> admission_service::acquire_here(acquire_message message)
{
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(rpc_answer)>(
        [this](auto handler, const acquire_message& asked)
        {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            acquire_local(asked,
                          [shared](rpc_answer answer)
                          {
                              auto executor = asio::get_associated_executor(*shared);
                              asio::post(executor, [shared, answer = std::move(answer)]() mutable
                                         { std::move (*shared)(std::move(answer)); });
                          });
        },
        asio::use_awaitable, std::move(message));
}

bool admission_service::renew_local(const waiting_key& key, const endpoint_id& engine,
                                    std::uint32_t renewal)
{
    bool waits = false;
    with_gate(engine,
              [&](owned_engine& owned, time_point now) -> std::vector<queue_decision>
              {
                  const auto it = owned.waiting.find(key);
                  waits = it != owned.waiting.end() &&
                          owned.gate.renew(it->second.ticket, renewal, now);
                  if (waits)
                  {
                      it->second.renewed = now;
                  }
                  return {};
              });
    return waits;
}

void admission_service::release_local(const endpoint_id& engine, permit_key key,
                                      const message_origin& owner, const permit_outcome& outcome)
{
    with_gate(engine,
              [&](owned_engine& owned, time_point now)
              {
                  owned.issued.erase(key);
                  owned.rebuild.on_permit_returned(make_stamp(engine, key, owner));
                  return owned.gate.release(key, outcome, now);
              });
}

std::vector<endpoint_id> admission_service::owned_engines() const
{
    std::vector<endpoint_id> engines;
    const std::scoped_lock lock(mutex_);
    for (const std::pair<const endpoint_id, owned_engine>& entry : owned_)
    {
        engines.push_back(entry.first);
    }
    return engines;
}

std::optional<admission_service::engine_configuration>
admission_service::find_engine(const endpoint_id& engine) const
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    if (!configuration)
    {
        return std::nullopt;
    }
    for (const pool& entry : configuration->pools)
    {
        for (const endpoint_entry& candidate : entry.engines)
        {
            if (candidate.id == engine)
            {
                return engine_configuration{
                    entry.id,
                    {candidate.host, candidate.port},
                    make_policy(entry, candidate, *configuration, node_.settings.timing)};
            }
        }
    }
    return std::nullopt;
}

void admission_service::on_router_dead(const router_id& router)
{
    for (const endpoint_id& engine : owned_engines())
    {
        with_gate(engine, [&router](owned_engine& owned, time_point now)
                  { return owned.gate.handle_holder_failure(router, now); });
    }
}

void admission_service::refresh()
{
    for (const endpoint_id& engine : owned_engines())
    {
        const engine_service_state service = to_service(configuration_.status(engine));
        with_gate(engine, [service](owned_engine& owned, time_point now)
                  { return owned.gate.set_service_state(service, now); });
    }
}

void admission_service::poll_engines()
{
    std::vector<std::pair<endpoint_id, network_address>> due;
    {
        const std::scoped_lock lock(mutex_);
        for (std::pair<const endpoint_id, owned_engine>& entry : owned_)
        {
            if (!std::exchange(entry.second.polling, true))
            {
                due.emplace_back(entry.first, entry.second.address);
            }
        }
    }
    for (const std::pair<endpoint_id, network_address>& entry : due)
    {
        spawn(node_.io, [this, engine = entry.first, address = entry.second]
              { return poll_engine(engine, address); });
    }
}

awaitable<void> admission_service::poll_engine(endpoint_id engine, network_address address)
{
    const millis visible_after = permit_time_to_use + node_.settings.timing.report_lag;
    const time_point asked = node_.time.now();
    http_request request;
    request.target = "/v1/load";
    const result<http_response> response =
        co_await http_call(address, std::move(request), report_timeout);
    const bool usable = response && response->status == 200;
    configuration_.on_probe(engine, usable);
    const result<json::object> body =
        usable ? parse_json_object(response->body)
               : result<json::object>(make_error_code(errc::endpoint_unavailable));
    with_gate(engine,
              [&](owned_engine& owned, time_point now) -> std::vector<queue_decision>
              {
                  owned.polling = false;
                  if (!body || now - asked > oldest_report)
                  {
                      return {};
                  }
                  const engine_report report = decode_report(*body);
                  owned.incarnation = report.incarnation;
                  std::vector<permit_stamp> visible;
                  for (const std::pair<const permit_key, time_point>& entry : owned.issued)
                  {
                      if (asked - entry.second >= visible_after)
                      {
                          visible.push_back(make_stamp(engine, entry.first, cluster_.origin()));
                      }
                  }
                  owned.rebuild.on_load_report(report.running + report.waiting, asked, visible);
                  return owned.gate.apply_report(report, asked, now);
              });
}

json::array admission_service::describe() const
{
    json::array list;
    const std::scoped_lock lock(mutex_);
    for (const std::pair<const endpoint_id, owned_engine>& entry : owned_)
    {
        const engine_gate& gate = entry.second.gate;
        list.push_back(json::object{{"engine", entry.first.str()},
                                    {"pool", entry.second.pool.str()},
                                    {"load", gate.load()},
                                    {"limit", gate.limit()},
                                    {"waiting", gate.waiting()},
                                    {"warm", gate.ramp().is_warm()},
                                    {"rebuilding", !entry.second.rebuild.is_complete()},
                                    {"cached_chats", gate.cache().size()}});
    }
    return list;
}

} // namespace endivestage::daemon
