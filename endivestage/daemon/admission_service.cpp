#include <endivestage/daemon/admission_service.hpp>

#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/json_access.hpp>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
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
constexpr millis renew_period{250};
constexpr millis peer_timeout{1000};
/// Permits older than this are checked with their holder, in case a release was lost.
constexpr millis reconcile_age{5000};
constexpr millis aggregate_retention{2000};

engine_service to_service(endpoint_status status)
{
    switch (status)
    {
    case endpoint_status::leaving:
    case endpoint_status::gone:
    case endpoint_status::unknown:
        return engine_service::leaving;
    case endpoint_status::zone_out_of_service:
        return engine_service::out_of_service;
    case endpoint_status::suspected:
        return engine_service::suspected;
    case endpoint_status::held_down:
    case endpoint_status::usable:
        break;
    }
    return engine_service::in_service;
}

gate_policy make_policy(const pool& source, const endpoint_entry& engine,
                        const std::vector<team>& teams, const timing_settings& timing)
{
    gate_policy policy;
    policy.capacity = engine.capacity;
    policy.bound.multiple = source.load_bound;
    policy.ramp.start = source.cold_start_permits;
    policy.ramp.first_token_target = source.first_token_target;
    policy.report_lag = timing.report_lag;
    for (const team& entry : teams)
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

json::object encode_key(const endpoint_id& engine, const permit_key& key)
{
    return {{"engine", engine.str()}, {"view", key.view}, {"sequence", key.sequence}};
}

json::object encode_mean(const std::optional<pool_mean>& mean)
{
    json::object object;
    if (mean)
    {
        object["load"] = mean->load;
        object["capacity"] = mean->capacity;
        object["oldest_ms"] = mean->oldest.count;
    }
    return object;
}

std::optional<pool_mean> decode_mean(const json::object& object)
{
    if (!object.contains("capacity"))
    {
        return std::nullopt;
    }
    return pool_mean{get_real(object, "load"), get_real(object, "capacity"),
                     millis{get_number(object, "oldest_ms")}};
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
                       with_gate(engine, [](owned_engine& owned, time_point now)
                                 { return owned.gate.tick(now); });
                   }
                   co_return;
               });
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
    node_.rpc.handle("/permit/release",
                     [this](router_id, const json::object& body) -> awaitable<rpc_answer>
                     {
                         release_local(endpoint_id(get_text(body, "engine")),
                                       {get_unsigned(body, "view"), get_unsigned(body, "sequence")},
                                       decode_outcome(body));
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
                         json::array list;
                         for (const held_permit& held :
                              held_on(endpoint_id(get_text(body, "engine"))))
                         {
                             list.push_back(encode(held));
                         }
                         co_return json::object{{"held", std::move(list)}};
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
        const time_point until = right ? now + millis{1} : now;
        take_decisions(engine, owned, owned.gate.set_confirmed(owned.view_number, until, now),
                       calls);
        take_decisions(engine, owned, work(owned, now), calls);
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

void admission_service::take_decisions(const endpoint_id&, owned_engine& owned,
                                       std::vector<queue_decision> decisions,
                                       pending_calls& calls) const
{
    for (queue_decision& decision : decisions)
    {
        const auto it = owned.waiting.find({decision.request.holder, decision.request.request});
        if (it == owned.waiting.end())
        {
            continue;
        }
        const permit* issued = std::get_if<permit>(&decision.answer);
        rpc_answer answer =
            issued != nullptr ? make_answer(*issued) : rpc_answer(std::get<1>(decision.answer));
        calls.emplace_back([done = std::move(it->second.done), answer = std::move(answer)]
                           { done(answer); });
        owned.waiting.erase(it);
    }
}

void admission_service::acquire_local(const acquire_message& message, answer_callback done)
{
    std::optional<rpc_answer> immediate;
    const auto work = [&](owned_engine& owned, time_point now) -> std::vector<queue_decision>
    {
        permit_request request = message.request;
        request.deadline = now + message.remaining;
        const permit_answer answer = owned.gate.acquire(request, now);
        if (const permit* issued = std::get_if<permit>(&answer))
        {
            immediate = make_answer(*issued);
        }
        else if (const queue_ticket* ticket = std::get_if<queue_ticket>(&answer))
        {
            owned.waiting.insert_or_assign(waiting_key{request.holder, request.request},
                                           waiting_caller{*ticket, done});
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
                  return {};
              });
    return waits;
}

void admission_service::release_local(const endpoint_id& engine, permit_key key,
                                      const permit_outcome& outcome)
{
    with_gate(engine, [&](owned_engine& owned, time_point now)
              { return owned.gate.release(key, outcome, now); });
}

// Keeps a waiting request in the owner's queue and notes when each renewal was sent, from which
// the time to use of the permit counts.
awaitable<void>
admission_service::renew_while_waiting(member owner, acquire_message message,
                                       std::shared_ptr<std::vector<time_point>> sent)
{
    while (sent.use_count() > 1)
    {
        co_await sleep_for(renew_period);
        if (sent.use_count() == 1)
        {
            co_return;
        }
        const std::uint32_t renewal = static_cast<std::uint32_t>(sent->size());
        sent->push_back(node_.time.now());
        if (owner.id == node_.settings.id)
        {
            renew_local({node_.settings.id, message.request.request}, message.engine, renewal);
        }
        else
        {
            json::object body{{"engine", message.engine.str()},
                              {"request", message.request.request.str()},
                              {"renewal", renewal}};
            co_await node_.rpc.call(peer_address_of(owner), "/permit/renew", std::move(body),
                                    peer_timeout);
        }
    }
}

awaitable<rpc_answer> admission_service::ask_owner(const member& owner, acquire_message message)
{
    if (owner.id == node_.settings.id)
    {
        co_return co_await acquire_here(std::move(message));
    }
    const millis timeout = message.request.wait_allowed ? std::max(peer_timeout, message.remaining)
                                                        : std::min(peer_timeout, message.remaining);
    json::object body = encode(message);
    co_return co_await node_.rpc.call(peer_address_of(owner), "/permit/acquire", std::move(body),
                                      timeout);
}

awaitable<result<holding>> admission_service::acquire(endpoint_id engine, permit_request request,
                                                      millis remaining)
{
    const view_pointer present = cluster_.view_now();
    const member* owner = present ? owner_of(*present, engine) : nullptr;
    if (owner == nullptr)
    {
        co_return make_error_code(errc::not_owner);
    }
    const member who = *owner;
    request.holder = node_.settings.id;
    acquire_message message{engine, request, remaining};
    std::shared_ptr<std::vector<time_point>> sent =
        std::make_shared<std::vector<time_point>>(1, node_.time.now());
    if (request.wait_allowed)
    {
        spawn(node_.io,
              [this, who, message, sent] { return renew_while_waiting(who, message, sent); });
    }
    const rpc_answer answer = co_await ask_owner(who, std::move(message));
    if (!answer)
    {
        co_return answer.error();
    }
    const result<granted_permit> granted = decode_granted(*answer);
    if (!granted || granted->value.renewal >= sent->size())
    {
        co_return make_error_code(errc::internal);
    }
    holding held{std::move(engine), *granted, request.request, request.chat,
                 (*sent)[granted->value.renewal]};
    {
        const std::scoped_lock lock(mutex_);
        held_.insert_or_assign({held.engine, held.granted.value.key}, held);
    }
    if (const std::error_code ec = check(held))
    {
        release(held, {});
        co_return ec;
    }
    co_return held;
}

std::error_code admission_service::check(const holding& held) const
{
    const view_pointer present = cluster_.view_now();
    if (!present)
    {
        return make_error_code(errc::stale_view);
    }
    const permit_stamp stamp{held.engine, held.granted.owner.id, held.granted.owner.incarnation,
                             held.granted.value.key.view, held.granted.value.key.sequence};
    return check_permit(stamp, *present, held.asked, node_.time.now(),
                        held.granted.value.time_to_use);
}

void admission_service::release(const holding& held, const permit_outcome& outcome)
{
    {
        const std::scoped_lock lock(mutex_);
        held_.erase({held.engine, held.granted.value.key});
    }
    // The present owner counts the permit, also when another router issued it.
    const view_pointer present = cluster_.view_now();
    const member* owner = present ? owner_of(*present, held.engine) : nullptr;
    if (owner == nullptr || owner->id == node_.settings.id)
    {
        release_local(held.engine, held.granted.value.key, outcome);
        return;
    }
    json::object body = encode(outcome);
    for (json::key_value_pair& field : encode_key(held.engine, held.granted.value.key))
    {
        body[field.key()] = field.value();
    }
    spawn(node_.io,
          [this, to = peer_address{owner->host, owner->port}, body]() -> awaitable<void>
          {
              json::object content = body;
              co_await node_.rpc.call(to, "/permit/release", std::move(content), peer_timeout);
          });
}

std::size_t admission_service::held_count() const
{
    const std::scoped_lock lock(mutex_);
    return held_.size();
}

std::vector<held_permit> admission_service::held_on(const endpoint_id& engine) const
{
    std::vector<held_permit> list;
    const std::scoped_lock lock(mutex_);
    for (const std::pair<const held_key, holding>& entry : held_)
    {
        if (entry.first.first == engine)
        {
            list.push_back(
                {entry.first.second, node_.settings.id, entry.second.request, entry.second.chat});
        }
    }
    return list;
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
                    make_policy(entry, candidate, configuration->teams, node_.settings.timing)};
            }
        }
    }
    return std::nullopt;
}

void admission_service::on_became_owner(const became_owner& takeover)
{
    const std::optional<engine_configuration> found = find_engine(takeover.endpoint);
    if (!found)
    {
        return;
    }
    const bool nobody_before = takeover.previous_known && takeover.previous_owner.id.empty();
    std::vector<router_id> ask;
    std::vector<member> to_ask;
    for (const std::vector<member>* members : {&takeover.in->members, &takeover.in->previous})
    {
        for (const member& who : *members)
        {
            if (!nobody_before && std::find(ask.begin(), ask.end(), who.id) == ask.end())
            {
                ask.push_back(who.id);
                to_ask.push_back(who);
            }
        }
    }
    const time_point now = node_.time.now();
    owned_engine owned{engine_gate(found->policy, takeover.endpoint, takeover.in->number, ask, now),
                       found->policy,
                       found->pool,
                       found->address,
                       {},
                       std::move(to_ask),
                       takeover.in->number};
    {
        const std::scoped_lock lock(mutex_);
        owned_.insert_or_assign(takeover.endpoint, std::move(owned));
    }
    node_.events.record(event_kind::owner_changed, {{"owner", node_.settings.id.str()}}, {},
                        takeover.endpoint);
    refresh();
}

void admission_service::on_stopped_owning(const stopped_owning& ended)
{
    pending_calls calls;
    {
        const std::scoped_lock lock(mutex_);
        const auto it = owned_.find(ended.endpoint);
        if (it == owned_.end())
        {
            return;
        }
        for (std::pair<const waiting_key, waiting_caller>& entry : it->second.waiting)
        {
            calls.emplace_back([done = std::move(entry.second.done)]
                               { done(make_error_code(errc::not_owner)); });
        }
        owned_.erase(it);
    }
    for (const std::function<void()>& call : calls)
    {
        call();
    }
}

void admission_service::on_router_dead(const router_id& router)
{
    for (const endpoint_id& engine : owned_engines())
    {
        with_gate(engine, [&router](owned_engine& owned, time_point now)
                  { return owned.gate.holder_died(router, now); });
    }
}

void admission_service::refresh()
{
    for (const endpoint_id& engine : owned_engines())
    {
        const engine_service service = to_service(configuration_.status(engine));
        with_gate(engine, [service](owned_engine& owned, time_point now)
                  { return owned.gate.set_service(service, now); });
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
    http_request request;
    request.target = "/v1/load";
    const time_point asked = node_.time.now();
    const result<http_response> response =
        co_await http_call(address, std::move(request), report_timeout);
    const bool usable = response && response->status == 200;
    configuration_.on_probe(engine, usable);
    const result<json::object> body =
        usable ? parse_json_object(response->body)
               : result<json::object>(make_error_code(errc::endpoint_unavailable));
    with_gate(engine,
              [&body, asked](owned_engine& owned, time_point now) -> std::vector<queue_decision>
              {
                  owned.polling = false;
                  return body ? owned.gate.report(decode_report(*body), asked, now)
                              : std::vector<queue_decision>{};
              });
}

void admission_service::ask_holders()
{
    struct question
    {
        endpoint_id engine;
        std::vector<member> rebuild;
        std::vector<router_id> reconcile;
        std::uint64_t view_number = 0;
    };
    std::vector<question> questions;
    {
        const std::scoped_lock lock(mutex_);
        for (std::pair<const endpoint_id, owned_engine>& entry : owned_)
        {
            owned_engine& owned = entry.second;
            if (!owned.gate.rebuilding())
            {
                owned.to_ask.clear();
            }
            questions.push_back({entry.first, owned.to_ask,
                                 owned.gate.holders_to_ask(reconcile_age, node_.time.now()),
                                 owned.view_number});
        }
    }
    for (const question& entry : questions)
    {
        for (const member& who : entry.rebuild)
        {
            spawn(node_.io, [this, engine = entry.engine, who, number = entry.view_number]
                  { return ask_rebuild(engine, who, number); });
        }
        for (const router_id& holder : entry.reconcile)
        {
            spawn(node_.io,
                  [this, engine = entry.engine, holder] { return ask_reconcile(engine, holder); });
        }
    }
}

awaitable<result<std::vector<held_permit>>>
admission_service::fetch_held(endpoint_id engine, member who, std::uint64_t view_number)
{
    if (who.id == node_.settings.id)
    {
        co_return held_on(engine);
    }
    json::object body{{"engine", engine.str()}, {"view", view_number}};
    const rpc_answer answer = co_await node_.rpc.call(peer_address_of(who), "/permit/held",
                                                      std::move(body), peer_timeout);
    if (!answer)
    {
        co_return answer.error();
    }
    std::vector<held_permit> list;
    for (const json::value& entry : get_array(*answer, "held"))
    {
        if (entry.is_object())
        {
            list.push_back(decode_held(entry.get_object()));
        }
    }
    co_return list;
}

awaitable<void> admission_service::ask_rebuild(endpoint_id engine, member who,
                                               std::uint64_t view_number)
{
    const result<std::vector<held_permit>> held = co_await fetch_held(engine, who, view_number);
    if (!held)
    {
        co_return;
    }
    with_gate(engine,
              [&](owned_engine& owned, time_point now)
              {
                  std::erase_if(owned.to_ask,
                                [&who](const member& other) { return other.id == who.id; });
                  return owned.gate.restore(who.id, *held, now);
              });
}

awaitable<void> admission_service::ask_reconcile(endpoint_id engine, router_id holder)
{
    const view_pointer present = cluster_.view_now();
    const member* who = present ? find_member(present->members, holder) : nullptr;
    if (who == nullptr)
    {
        co_return;
    }
    const time_point asked = node_.time.now();
    const result<std::vector<held_permit>> held =
        co_await fetch_held(engine, *who, present->number);
    if (!held)
    {
        co_return;
    }
    std::vector<permit_key> keys;
    for (const held_permit& entry : *held)
    {
        keys.push_back(entry.key);
    }
    with_gate(engine, [&](owned_engine& owned, time_point now)
              { return owned.gate.reconcile(holder, keys, asked, now); });
}

void admission_service::send_digests()
{
    std::map<pool_id, std::vector<engine_load>> loads;
    {
        const std::scoped_lock lock(mutex_);
        for (const std::pair<const endpoint_id, owned_engine>& entry : owned_)
        {
            const std::optional<engine_load> load = entry.second.gate.digest();
            std::vector<engine_load>& list = loads[entry.second.pool];
            if (load)
            {
                list.push_back(*load);
            }
        }
    }
    const view_pointer present = cluster_.view_now();
    if (!present)
    {
        return;
    }
    for (std::pair<const pool_id, std::vector<engine_load>>& entry : loads)
    {
        spawn(node_.io,
              [this, pool = entry.first, number = present->number, list = std::move(entry.second)]
              { return send_digest(pool, number, list); });
    }
}

awaitable<void> admission_service::send_digest(pool_id pool, std::uint64_t view_number,
                                               std::vector<engine_load> loads)
{
    const view_pointer present = cluster_.view_now();
    const time_point taken = node_.time.now();
    std::optional<pool_mean> mean;
    for (const member& candidate : aggregators_of(*present, pool, 3))
    {
        if (cluster_.is_serving(candidate.id))
        {
            mean = co_await exchange_digest(candidate, pool, view_number, loads);
            break;
        }
    }
    if (!mean)
    {
        co_return;
    }
    for (const endpoint_id& engine : owned_engines())
    {
        with_gate(engine,
                  [&](owned_engine& owned, time_point now)
                  {
                      return owned.pool == pool ? owned.gate.update_mean(*mean, taken, now)
                                                : std::vector<queue_decision>{};
                  });
    }
}

awaitable<std::optional<pool_mean>>
admission_service::exchange_digest(const member& aggregator, const pool_id& pool,
                                   std::uint64_t view_number, const std::vector<engine_load>& loads)
{
    if (aggregator.id == node_.settings.id)
    {
        co_return aggregate(node_.settings.id, pool, view_number, loads);
    }
    json::object body{{"pool", pool.str()}, {"view", view_number}, {"loads", encode(loads)}};
    const rpc_answer answer =
        co_await node_.rpc.call(peer_address_of(aggregator), "/load/digest", std::move(body),
                                node_.settings.timing.digest_period * 2);
    co_return answer ? decode_mean(*answer) : std::nullopt;
}

std::optional<pool_mean> admission_service::aggregate(const router_id& owner, const pool_id& pool,
                                                      std::uint64_t view_number,
                                                      const std::vector<engine_load>& loads)
{
    const time_point now = node_.time.now();
    const std::scoped_lock lock(mutex_);
    std::erase_if(aggregates_, [now](const auto& entry)
                  { return now - entry.second.used > aggregate_retention; });
    const auto it =
        aggregates_.try_emplace(pool, owned_aggregate{pool_aggregate({}, now), now}).first;
    it->second.used = now;
    it->second.sums.digest(owner, view_number, loads, millis{0}, now);
    return it->second.sums.mean(now);
}

awaitable<rpc_answer> admission_service::on_digest(router_id from, const json::object& body)
{
    co_return encode_mean(aggregate(from, pool_id(get_text(body, "pool")),
                                    get_unsigned(body, "view"),
                                    decode_loads(get_array(body, "loads"))));
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
                                    {"warm", gate.ramp().warm()},
                                    {"rebuilding", gate.rebuilding()},
                                    {"cached_chats", gate.cache().size()}});
    }
    return list;
}

} // namespace endivestage::daemon
