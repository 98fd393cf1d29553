#include <endivestage/daemon/router.hpp>

#include <endivestage/address.hpp>
#include <endivestage/daemon/admission_service.hpp>
#include <endivestage/daemon/caller_api.hpp>
#include <endivestage/daemon/chat_service.hpp>
#include <endivestage/daemon/cluster_service.hpp>
#include <endivestage/daemon/configuration_service.hpp>
#include <endivestage/daemon/datagram.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/operator_api.hpp>
#include <endivestage/daemon/peer_transport.hpp>
#include <endivestage/daemon/placement_service.hpp>
#include <endivestage/daemon/service_caller.hpp>

#include <algorithm>
#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

namespace
{

constexpr std::size_t timeline_capacity = 20000;
constexpr millis platform_timeout{2000};
constexpr millis stop_tick{50};

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

std::shared_ptr<const key_ring> make_keys(const router_settings& settings)
{
    std::vector<std::string> keys;
    for (const secret& key : settings.peer_keys)
    {
        keys.push_back(key.reveal());
    }
    return std::make_shared<const key_ring>(std::move(keys));
}

http_limits make_limits(const router_settings& settings)
{
    http_limits limits;
    limits.header_bytes = settings.limits.max_header_bytes;
    limits.body_bytes = settings.limits.max_body_bytes;
    limits.connections = settings.limits.max_connections;
    return limits;
}

stop_config make_stop_config(const router_settings& settings)
{
    stop_config stop;
    stop.answer_lifetime = settings.address_lifetime;
    return stop;
}

peer_server_options make_server_options(const router_settings& settings)
{
    peer_server_options options;
    options.listen = {settings.listen.host, settings.peer_port};
    options.advertised_host = settings.advertised_host;
    return options;
}

peer_client_options make_client_options(const router_settings& settings)
{
    peer_client_options options;
    options.self = settings.id;
    options.idle_timeout = settings.timing.peer_idle_timeout;
    return options;
}

} // namespace

struct router::parts final : cluster_observer
{
    explicit parts(const router_settings& s);

    std::error_code open();
    void on_became_owner(const ownership_acquired& takeover) override
    {
        admission.on_became_owner(takeover);
    }
    void on_stopped_owning(const ownership_lost& ended) override
    {
        admission.on_stopped_owning(ended);
    }
    void on_router_dead(const router_id& dead) override { admission.on_router_dead(dead); }
    void on_announcement(const announcement& item, const router_id& from) override
    {
        configuration.on_announcement(item, from);
    }

    void connect_services();
    void update_engines();
    std::vector<peer_router> peers() const;
    awaitable<void> handle(const http_request& request, response_writer& writer);
    awaitable<void> handle_probe(const http_target& target, response_writer& writer);
    void update_traffic_counters();
    void begin_stop();
    void tick_stop();
    bool serving() const;
    std::string stop_name() const;

    const router_settings& settings;
    boost::asio::io_context io;
    process_clock time;
    shared_random random;
    metrics_registry metrics;
    event_recorder events;
    std::shared_ptr<const key_ring> keys;
    peer_client_pool channel;
    peer_rpc rpc;
    platform_client platform;
    node_context node;
    configuration_service configuration;
    cluster_service cluster;
    admission_service admission;
    placement_service placement;
    fleet_token_signer signer;
    chat_service chats;
    service_caller services;
    caller_api callers;
    operator_api operators;
    datagram_socket datagrams;
    peer_server peer_listener;
    http_server listener;
    boost::asio::signal_set signals;

    mutable std::mutex stop_mutex; ///< Guards stop.
    planned_stop stop;
};

router::parts::parts(const router_settings& s)
    : settings(s),
      io(static_cast<int>(s.worker_threads)),
      random(random_seed()),
      events(s.id, s.zone, time, timeline_capacity),
      keys(make_keys(s)),
      channel(io, make_client_options(s), keys, time),
      rpc(channel, events),
      platform(io, s.platform, time, platform_timeout),
      node{io,     s,        time,
           random, metrics,  events,
           rpc,    platform, static_cast<std::uint64_t>(time.wall_now().since_epoch)},
      configuration(node),
      cluster(node),
      admission(node, configuration, cluster),
      placement(node, configuration, admission),
      signer(keys),
      chats(node, configuration, admission, placement, cluster, signer),
      services(node, configuration),
      callers(node, configuration, cluster, chats, services, [this] { return serving(); }),
      operators(
          node, configuration, cluster, admission, services, [this] { begin_stop(); },
          [this] { return stop_name(); }),
      datagrams(io, {s.listen.host, s.udp_port}, s.id, keys, time,
                [this](const datagram& received) { cluster.on_datagram(received); }),
      peer_listener(io, make_server_options(s), keys, time,
                    make_coroutine_handler(io.get_executor(), [this](peer_request request)
                                           { return rpc.dispatch(std::move(request)); })),
      listener(io, make_limits(s),
               [this](const http_request& request, response_writer& writer)
               { return handle(request, writer); }),
      signals(io, SIGTERM, SIGINT),
      stop(make_stop_config(s))
{
    connect_services();
}

void router::parts::connect_services()
{
    configuration.connect([this] { return peers(); },
                          [this](announcement item) { cluster.spread(std::move(item)); });
    configuration.on_change([this] { update_engines(); });
    configuration.on_hosts([this](std::span<const router_host> routers)
                           { cluster.on_hosts(routers); });
}

std::vector<peer_router> router::parts::peers() const
{
    std::vector<peer_router> list;
    for (const router_host& host : configuration.routers())
    {
        if (host.id != settings.id && host.region == settings.region)
        {
            list.push_back({host.id, {host.host, host.peer_port}});
        }
    }
    return list;
}

void router::parts::update_engines()
{
    const std::shared_ptr<const fleet_configuration> present = configuration.current();
    if (present)
    {
        std::vector<endpoint_id> engines;
        for (const pool& entry : present->pools)
        {
            for (const endpoint_entry& engine : entry.engines)
            {
                if (engine.region == settings.region)
                {
                    engines.push_back(engine.id);
                }
            }
        }
        cluster.set_engines(engines);
    }
    admission.refresh();
}

std::error_code router::parts::open()
{
    std::error_code ec = peer_listener.start();
    if (!ec)
    {
        ec = datagrams.start();
    }
    if (!ec)
    {
        ec = listener.listen(settings.listen);
    }
    return ec;
}

bool router::parts::serving() const
{
    const std::scoped_lock lock(stop_mutex);
    return stop.is_listed();
}

std::string router::parts::stop_name() const
{
    const std::scoped_lock lock(stop_mutex);
    return std::string(to_string(stop.step()));
}

awaitable<void> router::parts::handle(const http_request& request, response_writer& writer)
{
    http_target target;
    if (!parse_target(request.target, target))
    {
        http_response refused = make_error_response(
            {errc::invalid_request, execution::not_run, "malformed request target", {}});
        co_await writer.send(std::move(refused));
    }
    else if (operator_api::handles(target))
    {
        co_await operators.handle(request, target, writer);
    }
    else if (caller_api::handles(target))
    {
        co_await callers.handle(request, target, writer);
    }
    else
    {
        co_await handle_probe(target, writer);
    }
}

awaitable<void> router::parts::handle_probe(const http_target& target, response_writer& writer)
{
    http_response response =
        make_error_response({errc::not_found, execution::not_run, "no such resource", {}});
    const std::string name = target.segments.empty() ? std::string() : target.segments[0];
    if (name == "healthz")
    {
        response = make_json_response(callers.ready() ? "{\"ready\":true}" : "{\"ready\":false}",
                                      callers.ready() ? 200 : 503);
    }
    else if (name == "metrics")
    {
        update_traffic_counters();
        response = http_response{};
        response.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics.render();
    }
    co_await writer.send(std::move(response));
}

void router::parts::update_traffic_counters()
{
    const peer_traffic called = channel.traffic();
    const peer_traffic served = peer_listener.traffic();
    const datagram_traffic probes = datagrams.traffic();
    const auto set = [this](std::string_view name, std::string_view help, std::uint64_t sent,
                            std::uint64_t received)
    {
        metrics.get_counter(name, help, {{"direction", "sent"}}).raise_to(sent);
        metrics.get_counter(name, help, {{"direction", "received"}}).raise_to(received);
    };
    set("endivestage_peer_bytes_total", "Bytes of peer calls without TCP and IP headers.",
        called.bytes_sent + served.bytes_sent, called.bytes_received + served.bytes_received);
    set("endivestage_datagram_bytes_total", "Bytes of datagrams without UDP and IP headers.",
        probes.bytes_sent, probes.bytes_received);
}

void router::parts::begin_stop()
{
    // Callers may hold an answer as long as the configuration said when it was given.
    stop_config times = make_stop_config(settings);
    const std::shared_ptr<const fleet_configuration> present = configuration.current();
    if (present)
    {
        times.answer_lifetime = std::max(times.answer_lifetime, present->limits.address_lifetime);
    }
    std::vector<stop_action> actions;
    {
        const std::scoped_lock lock(stop_mutex);
        if (stop.step() == stop_step::serving)
        {
            stop = planned_stop(times);
        }
        actions = stop.begin(time.now());
    }
    if (!actions.empty())
    {
        events.record(event_kind::router_leaving);
        cluster.leave();
    }
}

void router::parts::tick_stop()
{
    stop_progress progress;
    progress.open_requests = listener.active_requests();
    progress.permits = admission.held_count();
    const view_pointer present = cluster.view_now();
    const member* own = present ? find_member(present->members, settings.id) : nullptr;
    progress.in_view = own != nullptr && !own->leaving;
    std::vector<stop_action> actions;
    {
        const std::scoped_lock lock(stop_mutex);
        actions = stop.tick(progress, time.now());
    }
    for (const stop_action action : actions)
    {
        if (action == stop_action::refuse_connections)
        {
            listener.stop_accepting();
        }
        else if (action == stop_action::exit)
        {
            events.record(event_kind::router_stopped);
            io.stop();
        }
    }
}

router::router(const router_settings& settings) : parts_(std::make_unique<parts>(settings)) {}

router::~router() = default;

std::error_code router::start()
{
    parts& p = *parts_;
    if (const std::error_code ec = p.open())
    {
        return ec;
    }
    p.cluster.start(p.datagrams, p);
    p.configuration.start();
    p.admission.start();
    p.chats.start();
    p.operators.start();
    spawn_loop(p.io, stop_tick,
               [&p]() -> awaitable<void>
               {
                   p.tick_stop();
                   co_return;
               });
    p.signals.async_wait(
        [&p](const boost::system::error_code& ec, int)
        {
            if (!ec)
            {
                p.begin_stop();
                p.signals.async_wait(
                    [&p](const boost::system::error_code& again, int)
                    {
                        if (!again)
                        {
                            p.io.stop();
                        }
                    });
            }
        });
    p.events.record(event_kind::router_started,
                    {{"listen", to_string(p.settings.listen)},
                     {"peer_port", std::to_string(p.settings.peer_port)},
                     {"udp_port", std::to_string(p.settings.udp_port)}});
    return {};
}

void router::run()
{
    std::vector<std::thread> workers;
    for (std::size_t n = 1; n < parts_->settings.worker_threads; ++n)
    {
        workers.emplace_back([this] { parts_->io.run(); });
    }
    parts_->io.run();
    for (std::thread& worker : workers)
    {
        worker.join();
    }
}

} // namespace endivestage::daemon
