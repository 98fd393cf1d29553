#include <endivestage/daemon/configuration_service.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr millis peer_timeout{1000};
constexpr millis replica_tick{100};
constexpr std::size_t store_pollers = 3;
constexpr std::string_view configuration_key = "configuration";
constexpr std::string_view zone_key_prefix = "zone/";

announcement to_announcement(const configuration_stamp& stamp)
{
    return {std::string(configuration_key), stamp.digest, stamp.version};
}

announcement to_announcement(const zone_register& value)
{
    // The state takes part in the version, because taking out wins over an equal counter.
    const std::uint64_t out = value.state == zone_state::out_of_service ? 1 : 0;
    return {std::string(zone_key_prefix) + value.zone.str(), to_json(value),
            value.counter * 2 + out};
}

table_operation read_operation(std::string key)
{
    table_operation operation;
    operation.key = std::move(key);
    return operation;
}

} // namespace

configuration_service::configuration_service(node_context& node) : node_(node) {}

void configuration_service::connect(std::function<std::vector<peer_router>()> peers,
                                    std::function<void(announcement)> spread)
{
    peers_ = std::move(peers);
    spread_ = std::move(spread);
}

void configuration_service::start()
{
    node_.rpc.handle("/config/fetch",
                     [this](router_id, const json::object& body) { return answer_fetch(body); });
    spawn(node_.io,
          [this]() -> awaitable<void>
          {
              co_await poll_hosts();
              std::vector<router_id> ids;
              for (const peer_router& peer : peers_())
              {
                  ids.push_back(peer.id);
              }
              std::vector<replica_action> actions;
              {
                  const std::scoped_lock lock(mutex_);
                  actions = replica_.start(ids, node_.time.now());
              }
              run(std::move(actions));
              spawn_loop(node_.io, node_.settings.timing.store_poll_period,
                         [this] { return poll_store(); });
              spawn_loop(node_.io, node_.settings.timing.store_poll_period,
                         [this] { return poll_zones(); });
              spawn_loop(node_.io, millis{node_.settings.timing.store_poll_period.count / 2},
                         [this] { return poll_hosts(); });
          });
    spawn_loop(node_.io, replica_tick,
               [this]() -> awaitable<void>
               {
                   std::vector<replica_action> actions;
                   std::vector<zone_action> zone_actions;
                   {
                       const std::scoped_lock lock(mutex_);
                       actions = replica_.tick(node_.time.now());
                       zone_actions = zones_.tick(node_.time.now());
                   }
                   run(std::move(actions));
                   run(std::move(zone_actions));
                   co_return;
               });
}

std::shared_ptr<const fleet_configuration> configuration_service::current() const
{
    const std::scoped_lock lock(mutex_);
    return replica_.current();
}

replica_state configuration_service::state() const
{
    const std::scoped_lock lock(mutex_);
    return replica_.state();
}

configuration_stamp configuration_service::in_force() const
{
    const std::scoped_lock lock(mutex_);
    return replica_.active_stamp();
}

std::vector<usable_endpoint> configuration_service::usable(const pool_id& pool) const
{
    const std::scoped_lock lock(mutex_);
    return registry_.find_usable(pool, zones_, node_.time.now());
}

std::vector<usable_endpoint> configuration_service::usable(const service_id& service) const
{
    const std::scoped_lock lock(mutex_);
    std::vector<usable_endpoint> near =
        registry_.find_usable(service, node_.settings.region, zones_, node_.time.now());
    return near.empty() ? registry_.find_usable(service, region_id(), zones_, node_.time.now())
                        : near;
}

endpoint_status configuration_service::status(const endpoint_id& endpoint) const
{
    const std::scoped_lock lock(mutex_);
    return registry_.status(endpoint, zones_, node_.time.now());
}

bool configuration_service::in_service(const zone_id& zone) const
{
    const std::scoped_lock lock(mutex_);
    return zones_.in_service(zone);
}

void configuration_service::on_probe(const endpoint_id& endpoint, bool success)
{
    const std::scoped_lock lock(mutex_);
    registry_.on_probe(endpoint, success, node_.time.now());
}

void configuration_service::on_connection(const endpoint_id& endpoint, bool success)
{
    const std::scoped_lock lock(mutex_);
    registry_.on_connection(endpoint, success, node_.time.now());
}

std::vector<router_host> configuration_service::routers() const
{
    const std::scoped_lock lock(mutex_);
    return routers_;
}

std::optional<peer_address> configuration_service::address_of(const router_id& peer) const
{
    for (const peer_router& other : peers_())
    {
        if (other.id == peer)
        {
            return other.address;
        }
    }
    return std::nullopt;
}

void configuration_service::run(std::vector<replica_action> actions)
{
    for (replica_action& action : actions)
    {
        if (const fetch_stamp* question = std::get_if<fetch_stamp>(&action))
        {
            spawn(node_.io, [this, source = question->source] { return ask(source); });
        }
        else if (const fetch_body* wanted = std::get_if<fetch_body>(&action))
        {
            spawn(node_.io, [this, stamp = wanted->stamp, source = wanted->source]
                  { return fetch(stamp, source); });
        }
        else if (const activate_configuration* adopted =
                     std::get_if<activate_configuration>(&action))
        {
            configuration_stamp stamp;
            {
                const std::scoped_lock lock(mutex_);
                registry_.apply(adopted->configuration);
                body_ = to_json(*adopted->configuration);
                stamp = replica_.active_stamp();
            }
            node_.events.record(event_kind::configuration_changed,
                                {{"version", std::to_string(stamp.version)}});
            spread_stamp(stamp);
            changed_();
        }
    }
}

void configuration_service::spread_stamp(const configuration_stamp& stamp)
{
    if (stamp.version > 0)
    {
        spread_(to_announcement(stamp));
    }
}

awaitable<void> configuration_service::ask(configuration_source source)
{
    std::optional<configuration_stamp> stamp;
    if (!source.peer)
    {
        const table_result answer =
            co_await node_.platform.table(read_operation(std::string(configuration_row_key)));
        if (answer.what == table_result::outcome::applied)
        {
            const result<configuration_record> record =
                configuration_record_from_json(answer.row.value);
            stamp = record ? record->current() : configuration_stamp{};
        }
        else if (answer.what == table_result::outcome::not_found)
        {
            stamp = configuration_stamp{};
        }
    }
    else if (const std::optional<peer_address> address = address_of(*source.peer))
    {
        json::object question;
        const rpc_answer answer =
            co_await node_.rpc.call(*address, "/config/fetch", std::move(question), peer_timeout);
        if (answer)
        {
            stamp =
                configuration_stamp{get_unsigned(*answer, "version"), get_text(*answer, "digest")};
        }
    }
    std::vector<replica_action> actions;
    {
        const std::scoped_lock lock(mutex_);
        actions = stamp ? replica_.on_stamp(source, *stamp, node_.time.now())
                        : replica_.on_unreachable(source, node_.time.now());
    }
    run(std::move(actions));
}

awaitable<result<std::string>> configuration_service::fetch_from(const configuration_stamp& stamp,
                                                                 const configuration_source& source)
{
    if (!source.peer)
    {
        co_return co_await node_.platform.get_object(stamp.digest);
    }
    const std::optional<peer_address> address = address_of(*source.peer);
    if (!address)
    {
        co_return make_error_code(errc::peer_unavailable);
    }
    json::object question;
    question["digest"] = stamp.digest;
    const rpc_answer answer =
        co_await node_.rpc.call(*address, "/config/fetch", std::move(question), peer_timeout);
    if (!answer)
    {
        co_return answer.error();
    }
    co_return get_text(*answer, "body");
}

awaitable<void> configuration_service::fetch(configuration_stamp stamp, configuration_source source)
{
    const result<std::string> body = co_await fetch_from(stamp, source);
    std::vector<replica_action> actions;
    {
        const std::scoped_lock lock(mutex_);
        actions = body ? replica_.on_body(source, stamp, *body, node_.time.now())
                       : replica_.on_body_failed(source, stamp, node_.time.now());
    }
    run(std::move(actions));
}

awaitable<rpc_answer> configuration_service::answer_fetch(const json::object& body) const
{
    const std::scoped_lock lock(mutex_);
    const configuration_stamp stamp = replica_.active_stamp();
    json::object answer{{"version", stamp.version}, {"digest", stamp.digest}};
    if (body.contains("digest"))
    {
        if (get_text(body, "digest") != stamp.digest)
        {
            co_return make_error_code(errc::not_found);
        }
        answer["body"] = body_;
    }
    co_return answer;
}

// Only a few routers of a region poll the store, chosen alike by all, so that its read capacity
// does not depend on the number of routers. A router without a configuration always polls.
bool configuration_service::polls_store() const
{
    std::vector<std::pair<std::uint64_t, router_id>> ranked;
    ranked.emplace_back(hash64(node_.settings.id.view()), node_.settings.id);
    for (const peer_router& peer : peers_())
    {
        ranked.emplace_back(hash64(peer.id.view()), peer.id);
    }
    std::sort(ranked.begin(), ranked.end());
    const std::size_t limit = std::min(ranked.size(), store_pollers);
    for (std::size_t n = 0; n < limit; ++n)
    {
        if (ranked[n].second == node_.settings.id)
        {
            return true;
        }
    }
    return state() != replica_state::ready;
}

awaitable<void> configuration_service::poll_store()
{
    if (polls_store())
    {
        configuration_source store;
        co_await ask(std::move(store));
    }
}

awaitable<void> configuration_service::poll_zones()
{
    if (!polls_store())
    {
        co_return;
    }
    std::shared_ptr<const fleet_configuration> configuration = current();
    if (!configuration)
    {
        co_return;
    }
    for (const zone& entry : configuration->zones)
    {
        const table_result answer =
            co_await node_.platform.table(read_operation(zone_row_key(entry.id)));
        if (answer.what != table_result::outcome::applied &&
            answer.what != table_result::outcome::not_found)
        {
            continue;
        }
        std::vector<zone_action> actions;
        {
            const std::scoped_lock lock(mutex_);
            actions = zones_.on_polled(entry.id, answer.row, node_.time.now());
        }
        run(std::move(actions));
    }
}

awaitable<void> configuration_service::poll_hosts()
{
    result<platform_hosts> hosts = co_await node_.platform.hosts();
    if (!hosts)
    {
        co_return;
    }
    {
        const std::scoped_lock lock(mutex_);
        registry_.on_host_list(hosts->hosts, node_.time.now());
        routers_ = hosts->routers;
    }
    hosts_read_(hosts->routers);
    changed_();
}

void configuration_service::run(std::vector<zone_action> actions)
{
    for (zone_action& action : actions)
    {
        if (const broadcast_zone* news = std::get_if<broadcast_zone>(&action))
        {
            node_.events.record(event_kind::zone_changed,
                                {{"zone", news->value.zone.str()},
                                 {"state", std::string(to_string(news->value.state))},
                                 {"author", news->value.author}});
            spread_(to_announcement(news->value));
            changed_();
        }
        else if (call_zone_table* call = std::get_if<call_zone_table>(&action))
        {
            node_.platform.submit(std::move(call->operation),
                                  [this, zone = call->zone](const table_result& answer)
                                  {
                                      std::vector<zone_action> next;
                                      {
                                          const std::scoped_lock lock(mutex_);
                                          next = zones_.on_table_result(zone, answer,
                                                                        node_.time.now());
                                      }
                                      run(std::move(next));
                                  });
        }
    }
}

awaitable<result<zone_storage>> configuration_service::set_zone(zone_id zone, zone_state state,
                                                                std::string author)
{
    std::shared_ptr<const fleet_configuration> configuration = current();
    if (!configuration || configuration->find(zone) == nullptr)
    {
        co_return make_error_code(errc::not_found);
    }
    std::vector<zone_action> actions;
    {
        const std::scoped_lock lock(mutex_);
        actions = zones_.set(zone, state, author, node_.time.now());
    }
    run(std::move(actions));
    // A short wait lets the answer say "stored" when the store is up; the change is in force
    // already.
    for (int n = 0; n < 10; ++n)
    {
        co_await sleep_for(millis{20});
        const std::scoped_lock lock(mutex_);
        if (zones_.storage(zone) == zone_storage::stored)
        {
            co_return zone_storage::stored;
        }
    }
    co_return zone_storage::not_stored;
}

std::vector<std::pair<zone_register, zone_storage>> configuration_service::zones() const
{
    std::vector<std::pair<zone_register, zone_storage>> list;
    const std::scoped_lock lock(mutex_);
    const std::shared_ptr<const fleet_configuration> configuration = replica_.current();
    if (configuration)
    {
        for (const zone& entry : configuration->zones)
        {
            zone_register value = zones_.current(entry.id);
            value.zone = entry.id;
            list.emplace_back(std::move(value), zones_.storage(entry.id));
        }
    }
    return list;
}

void configuration_service::on_announcement(const announcement& item, const router_id& from)
{
    if (item.key == configuration_key)
    {
        std::vector<replica_action> actions;
        {
            // Both sources are named, so that the body is found while the store is down and while
            // the peer has not fetched it yet.
            const configuration_stamp stamp{item.version, item.value};
            const std::scoped_lock lock(mutex_);
            actions = replica_.on_stamp(configuration_source{from}, stamp, node_.time.now());
            std::vector<replica_action> more =
                replica_.on_stamp(configuration_source{}, stamp, node_.time.now());
            actions.insert(actions.end(), more.begin(), more.end());
        }
        run(std::move(actions));
    }
    else if (item.key.starts_with(zone_key_prefix))
    {
        const result<zone_register> value = zone_register_from_json(item.value);
        if (value)
        {
            std::vector<zone_action> actions;
            {
                const std::scoped_lock lock(mutex_);
                actions = zones_.merge(*value);
            }
            run(std::move(actions));
        }
    }
}

awaitable<commit_finished> configuration_service::commit(configuration_commit_request apply)
{
    configuration_commit machine(std::move(apply));
    commit_action action = machine.start();
    for (;;)
    {
        if (const commit_finished* finished = std::get_if<commit_finished>(&action))
        {
            const commit_finished answer = *finished;
            if (answer.code == errc::ok)
            {
                std::vector<replica_action> actions;
                {
                    const std::scoped_lock lock(mutex_);
                    actions =
                        replica_.on_stamp(configuration_source{}, answer.stamp, node_.time.now());
                }
                run(std::move(actions));
                spread_stamp(answer.stamp);
            }
            co_return answer;
        }
        if (const store_body* body = std::get_if<store_body>(&action))
        {
            co_await sleep_for(body->delay);
            const std::error_code ec = co_await node_.platform.put_object(body->digest, body->body);
            action = machine.on_body_stored(!ec);
        }
        else
        {
            const call_table call = std::get<call_table>(action);
            co_await sleep_for(call.delay);
            const table_result answer = co_await node_.platform.table(call.operation);
            action = machine.on_table_result(answer);
        }
    }
}

} // namespace endivestage::daemon
