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
constexpr millis renew_period{250};
constexpr millis peer_timeout{1000};
/// Permits older than this are checked with their holder, in case a release was lost.
constexpr millis reconcile_age{5000};
constexpr millis aggregate_retention{2000};
constexpr millis handover_retention{30000};
/// A report that took longer is dropped: the process may have been paused, and the report shows a
/// state too old for the account of the load.
constexpr millis oldest_report{500};

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
                        const fleet_configuration& configuration, const timing_settings& timing)
{
    gate_policy policy;
    policy.capacity = engine.capacity;
    policy.bound.multiple = source.load_bound;
    policy.ramp.start = source.cold_start_permits;
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
        const bool may_issue = right && owned.rebuild.complete();
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

// Own permits that the gate no longer counts have been returned or found lost.
void admission_service::forget_returned(const endpoint_id& engine, owned_engine& owned) const
{
    std::set<permit_key> counted;
    for (const held_permit& held : owned.gate.snapshot())
    {
        counted.insert(held.key);
    }
    for (auto it = owned.issued.begin(); it != owned.issued.end();)
    {
        if (counted.contains(it->first))
        {
            ++it;
            continue;
        }
        owned.rebuild.on_returned(make_stamp(engine, it->first, cluster_.origin()));
        it = owned.issued.erase(it);
    }
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
                  owned.rebuild.on_returned(make_stamp(engine, key, owner));
                  return owned.gate.release(key, outcome, now);
              });
}

// Keeps a waiting request in the owner's queue and notes when each renewal was sent, from which
// the time to use of the permit counts.
awaitable<void> admission_service::renew_while_waiting(member owner, acquire_message message,
                                                       std::shared_ptr<renewal_times> sent)
{
    for (;;)
    {
        co_await sleep_for(renew_period);
        if (sent->finished())
        {
            co_return;
        }
        const std::uint32_t renewal = sent->add(node_.time.now());
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
    std::shared_ptr<renewal_times> sent = std::make_shared<renewal_times>();
    sent->add(node_.time.now());
    if (request.wait_allowed)
    {
        spawn(node_.io,
              [this, who, message, sent] { return renew_while_waiting(who, message, sent); });
    }
    const rpc_answer answer = co_await ask_owner(who, std::move(message));
    sent->finish();
    if (!answer)
    {
        co_return answer.error();
    }
    const result<granted_permit> granted = decode_granted(*answer);
    if (!granted)
    {
        co_return granted.error();
    }
    const std::optional<time_point> asked = sent->find(granted->value.renewal);
    if (!asked)
    {
        co_return make_error_code(errc::conflict);
    }
    holding held{std::move(engine), *granted, request.request, request.chat, *asked};
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
    // The present owner counts the permit, also when another router issued it; the issuer hands its
    // account over without it.
    const view_pointer present = cluster_.view_now();
    const member* owner = present ? owner_of(*present, held.engine) : nullptr;
    const member* issuer = present ? find_member(present->members, held.granted.owner.id) : nullptr;
    if (owner != nullptr)
    {
        return_permit(*owner, held, outcome);
    }
    if (issuer != nullptr && issuer != owner)
    {
        return_permit(*issuer, held, outcome);
    }
}

void admission_service::return_permit(const member& to, const holding& held,
                                      const permit_outcome& outcome)
{
    const permit_key key = held.granted.value.key;
    if (to.id == node_.settings.id)
    {
        release_local(held.engine, key, held.granted.owner, outcome);
        return;
    }
    json::object body = encode(outcome);
    body["engine"] = held.engine.str();
    body["view"] = key.view;
    body["sequence"] = key.sequence;
    body["owner"] = held.granted.owner.id.str();
    body["owner_incarnation"] = held.granted.owner.incarnation;
    spawn(node_.io,
          [this, address = peer_address_of(to), body]() -> awaitable<void>
          {
              json::object content = body;
              co_await node_.rpc.call(address, "/permit/release", std::move(content), peer_timeout);
          });
}

std::size_t admission_service::held_count() const
{
    const std::scoped_lock lock(mutex_);
    return held_.size();
}

held_report admission_service::report_held(const endpoint_id& engine, std::uint64_t view_number)
{
    held_report report;
    report.from = cluster_.origin();
    report.view_number = view_number;
    const std::scoped_lock lock(mutex_);
    for (const std::pair<const held_key, holding>& entry : held_)
    {
        const holding& held = entry.second;
        if (held.engine == engine)
        {
            report.permits.push_back(
                {{held.granted.value.key, node_.settings.id, held.request, held.chat},
                 held.granted.owner});
        }
    }
    const time_point now = node_.time.now();
    std::erase_if(handovers_, [now](const auto& entry) { return entry.second.until < now; });
    const auto it = handovers_.find(engine);
    if (it != handovers_.end())
    {
        report.handover = it->second.value;
    }
    return report;
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

void admission_service::on_became_owner(const became_owner& takeover)
{
    const std::optional<engine_configuration> found = find_engine(takeover.endpoint);
    if (!found)
    {
        return;
    }
    const time_point now = node_.time.now();
    rebuild_config config;
    config.report_lag = node_.settings.timing.report_lag;
    owned_engine owned{engine_gate(found->policy, takeover.endpoint, takeover.in->number, {}, now),
                       found->policy,
                       found->pool,
                       found->address,
                       {},
                       owner_rebuild(config, takeover),
                       {},
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
        handovers_.insert_or_assign(ended.endpoint,
                                    kept_handover{make_handover(ended.endpoint, it->second, ended),
                                                  node_.time.now() + handover_retention});
        owned_.erase(it);
    }
    for (const std::function<void()>& call : calls)
    {
        call();
    }
}

engine_handover admission_service::make_handover(const endpoint_id& engine,
                                                 const owned_engine& owned,
                                                 const stopped_owning& ended) const
{
    engine_handover handover;
    handover.account.ended_in = ended.ended_in;
    handover.account.complete = ended.account_complete && owned.rebuild.settled();
    handover.account.outstanding = owned.rebuild.known();
    for (const held_permit& held : owned.gate.snapshot())
    {
        if (owned.issued.contains(held.key))
        {
            // The incarnation of the holder is not known here; the newest one covers all.
            handover.account.outstanding.push_back(
                {make_stamp(engine, held.key, cluster_.origin()), {held.holder, 0}});
        }
    }
    handover.incarnation = owned.incarnation;
    handover.warm = owned.gate.ramp().warm();
    handover.cache = owned.gate.cache().entries();
    if (handover.cache.size() > max_handover_entries)
    {
        handover.cache.erase(handover.cache.begin(), handover.cache.end() - max_handover_entries);
    }
    return handover;
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
                  owned.rebuild.on_report(report.running + report.waiting, asked, visible);
                  return owned.gate.report(report, asked, now);
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
            forget_returned(entry.first, owned);
            questions.push_back({entry.first, owned.rebuild.tick(node_.time.now()),
                                 owned.gate.holders_to_ask(reconcile_age, node_.time.now()),
                                 owned.rebuild.in().number});
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

awaitable<result<held_report>> admission_service::fetch_held(endpoint_id engine, member who,
                                                             std::uint64_t view_number)
{
    if (who.id == node_.settings.id)
    {
        co_return report_held(engine, view_number);
    }
    json::object body{{"engine", engine.str()}, {"view", view_number}};
    const rpc_answer answer = co_await node_.rpc.call(peer_address_of(who), "/permit/held",
                                                      std::move(body), peer_timeout);
    if (!answer)
    {
        co_return answer.error();
    }
    co_return decode_held_report(engine, *answer);
}

awaitable<void> admission_service::ask_rebuild(endpoint_id engine, member who,
                                               std::uint64_t view_number)
{
    const result<held_report> report = co_await fetch_held(engine, who, view_number);
    if (report)
    {
        with_gate(engine, [&](owned_engine& owned, time_point now)
                  { return take_report(engine, owned, *report, now); });
    }
}

// The gate counts the permits; the rebuild decides when the count is complete.
std::vector<queue_decision> admission_service::take_report(const endpoint_id& engine,
                                                           owned_engine& owned,
                                                           const held_report& report,
                                                           time_point now) const
{
    if (owned.rebuild.complete())
    {
        return {};
    }
    held_answer answer;
    answer.from = report.from;
    answer.view_number = report.view_number;
    std::vector<held_permit> held;
    for (const reported_permit& permit : report.permits)
    {
        const permit_stamp stamp = make_stamp(engine, permit.held.key, permit.owner);
        answer.permits.push_back({stamp, report.from});
        held.push_back(permit.held);
    }
    if (report.handover)
    {
        answer.account = report.handover->account;
    }
    owned.rebuild.on_answer(answer, now);
    std::vector<queue_decision> decided = owned.gate.restore(report.from.id, held, now);
    if (report.handover && report.handover->incarnation != 0)
    {
        owned.gate.restore_cache(report.handover->incarnation, report.handover->cache);
        if (report.handover->warm)
        {
            std::vector<queue_decision> more =
                owned.gate.mark_warm(report.handover->incarnation, now);
            decided.insert(decided.end(), more.begin(), more.end());
        }
    }
    return decided;
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
    const result<held_report> report = co_await fetch_held(engine, *who, present->number);
    if (!report)
    {
        co_return;
    }
    std::vector<permit_key> keys;
    for (const reported_permit& permit : report->permits)
    {
        keys.push_back(permit.held.key);
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
                                    {"rebuilding", !entry.second.rebuild.complete()},
                                    {"cached_chats", gate.cache().size()}});
    }
    return list;
}

} // namespace endivestage::daemon
