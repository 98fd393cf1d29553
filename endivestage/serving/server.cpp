#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <memory>
#include <sys/resource.h>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::http_limits;
using daemon::log_event;
using daemon::log_level;
using daemon::response_writer;

namespace
{

/// The store drops the record of an endpoint that has not renewed it for three heartbeats.
constexpr millis left_endpoint_period{5000};
/// Connections whose caller accepts no bytes for this long are closed.
constexpr millis write_timeout{10000};
/// Sightings are collected for this long, so that several share a datagram.
constexpr millis gossip_interval{100};
/// Routers that have started, or missed a datagram, learn of a quarantine within about this time.
constexpr millis reminder_interval{1000};
constexpr millis join_retry_delay{300};
/// Requests that may go on elsewhere leave a connection that was silent for this long when the
/// router is cut off. The pauses of a sound engine are shorter.
constexpr millis silent_period{500};
/// A slow table service answers within this time. A caller whose stream cannot go on comes back.
constexpr millis confirm_wait{250};
/// Time after which the address responses of other routers omit a stopping router.
constexpr millis leave_propagation_time{500};
/// On the peer port, for the command rollouts.
constexpr std::string_view rollouts_path = "/v1/rollouts";

/// Descriptors that connections of callers never take: files, listeners, the store and peers.
constexpr std::size_t reserved_descriptors = 200;
/// A request needs one descriptor for its caller and one for its endpoint.
constexpr std::size_t descriptors_per_connection = 2;
/// Memory by which the number of connections is limited: a connection whose bytes the router does
/// not read yet has up to this much in the kernel.
constexpr std::size_t connection_bytes = 65536;
constexpr std::size_t min_connections = 16;
constexpr std::size_t added_header_bytes = 1024;

std::size_t max_connections(const server_settings& settings)
{
    std::size_t descriptors = settings.descriptors.value_or(std::numeric_limits<int>::max());
    rlimit allowed{};
    if (getrlimit(RLIMIT_NOFILE, &allowed) == 0)
    {
        descriptors = std::min<std::size_t>(descriptors, allowed.rlim_cur);
    }
    const std::size_t free =
        descriptors > reserved_descriptors ? descriptors - reserved_descriptors : 0;
    const std::size_t connections =
        std::min({http_limits{}.connections, free / descriptors_per_connection,
                  settings.memory / connection_bytes});
    return std::max(min_connections, connections);
}

request_memory* make_request_memory(router_state& state, std::size_t memory)
{
    const std::size_t capacity =
        memory / router_state::request_memory_divisor * router_state::request_memory_parts;
    state.request_bytes =
        std::make_unique<request_memory>(request_memory_config::for_capacity(capacity));
    return state.request_bytes.get();
}

http_limits to_http_limits(const caller_limits& limits, const server_settings& settings)
{
    http_limits converted;
    converted.connections = max_connections(settings);
    converted.header_bytes = limits.max_header_bytes;
    converted.body_bytes = limits.max_body_bytes;
    // Callers reuse connections up to the idle timeout, some a little longer. The second on top
    // makes it rare that the router's close crosses a request.
    converted.idle = limits.idle_timeout + millis{1000};
    converted.request = limits.header_timeout * 2;
    converted.write = write_timeout;
    return converted;
}

/// Other routers hand over whatever their callers may send, with some fields of their own.
http_limits to_peer_limits(const caller_limits& limits)
{
    http_limits converted;
    converted.header_bytes =
        std::max(converted.header_bytes, limits.max_header_bytes + added_header_bytes);
    converted.body_bytes = std::max(converted.body_bytes, limits.max_body_bytes);
    return converted;
}

stop_config to_stop_config(const server_bounds& bounds)
{
    stop_config converted;
    converted.answer_lifetime = bounds.address_lifetime;
    converted.propagation_delay = leave_propagation_time;
    return converted;
}

std::map<shared_table, era_transition> make_era_policies()
{
    std::map<shared_table, era_transition> eras;
    // Zones out of service and orders stay as they were, also ended ones.
    eras.emplace(shared_table::operations, era_transition({true, service_outage::rewrite_period}));
    // The directory keeps lost endpoints itself. One that has left has its record dropped again
    // when it does not renew it.
    eras.emplace(shared_table::endpoints, era_transition({false, left_endpoint_period}));
    eras.emplace(shared_table::routers, era_transition({true, millis{0}}));
    return eras;
}

start_hold_limits to_hold_limits(std::size_t host_memory)
{
    start_hold_limits converted;
    converted.bytes = host_memory / router_state::held_memory_divisor;
    return converted;
}

} // namespace

server::server(asio::io_context& context, server_settings settings, platform_adapter platform)
    : context_(context),
      settings_(std::move(settings)),
      platform_(std::move(platform)),
      state_(time_, *platform_.codec, settings_.bounds, settings_.name),
      request_service_(context.get_executor(), state_),
      caller_server_(
          context, to_http_limits({}, settings_),
          [this](http_request request, response_writer& writer)
          { return request_service_.serve(std::move(request), writer); },
          make_request_memory(state_, settings_.memory)),
      readiness_server_(context, {},
                        [this](http_request request, response_writer& writer) -> awaitable<void>
                        {
                            http_response response = platform_.discovery->handle_readiness_request(
                                request, accepts_callers());
                            co_await writer.send(std::move(response));
                        }),
      directory_server_(context, {},
                        [this](http_request request, response_writer& writer) -> awaitable<void>
                        {
                            http_response response = platform_.discovery->handle_directory_request(
                                request, [this](zone_id zone, region_id region)
                                { return addresses(std::move(zone), std::move(region)); });
                            co_await writer.send(std::move(response));
                        }),
      peer_server_(context, {},
                   [this](http_request request, response_writer& writer) -> awaitable<void>
                   {
                       if (is_handed_over(request))
                       {
                           co_await request_service_.serve_taken(std::move(request), writer);
                           co_return;
                       }
                       http_response response;
                       response.status = 503;
                       if (request.target == rollouts_path)
                       {
                           response.status = 200;
                           response.fields.emplace_back("Content-Type", "application/json");
                           response.body = rollout_service_.describe() + "\n";
                       }
                       else if (replication_)
                       {
                           response =
                               co_await replication_->handle_peer_request(std::move(request));
                       }
                       co_await writer.send(std::move(response));
                   }),
      metrics_server_(context, {},
                      [this](http_request, response_writer& writer) -> awaitable<void>
                      {
                          update_metrics();
                          http_response response;
                          response.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
                          response.body = state_.metrics.render();
                          co_await writer.send(std::move(response));
                      }),
      rollout_service_(context, state_, *platform_.tables),
      eras_(make_era_policies()),
      planned_stop_(to_stop_config(settings_.bounds)),
      quarantine_records_(hash64(settings_.name.view()))
{
    state_.routers = {settings_.name};
    state_.zone = settings_.zone;
    state_.handovers = handover_choice(settings_.zone);
    state_.max_taken_requests = settings_.memory / router_state::taken_request_bytes;
    state_.response_memory =
        buffer_budget(settings_.memory / router_state::response_memory_divisor);
    state_.start = start_gate(time_, to_hold_limits(settings_.memory));
    state_.overload.set_config(settings_.overload);
    state_.random = seeded_random(
        hash64(settings_.name.view(), static_cast<std::uint64_t>(time_.wall_now().since_epoch)));
}

std::error_code server::start()
{
    std::error_code ec = caller_server_.listen(settings_.callers);
    if (!ec)
    {
        ec = readiness_server_.listen(settings_.readiness);
    }
    if (!ec)
    {
        ec = directory_server_.listen(settings_.directory);
    }
    if (!ec)
    {
        ec = peer_server_.listen({settings_.host, settings_.peer_port});
    }
    if (!ec)
    {
        ec = metrics_server_.listen(settings_.metrics);
    }
    if (!ec)
    {
        asio::co_spawn(context_, join_fleet(), asio::detached);
        asio::co_spawn(context_, run_maintenance(), asio::detached);
    }
    return ec;
}

awaitable<void> server::join_fleet()
{
    member self;
    self.id = settings_.name;
    self.zone = settings_.zone;
    self.host = settings_.host;
    self.port = settings_.peer_port;
    self.udp_port = settings_.peer_port;
    self.incarnation = static_cast<std::uint64_t>(time_.wall_now().since_epoch);
    change_batch listed_routers;
    while (!stopping_)
    {
        const result<timestamped_batch> listed =
            co_await platform_.tables->list(shared_table::routers);
        if (listed)
        {
            listed_routers = listed->batch;
            break;
        }
        log_event(log_level::warning, "join_delayed", {listed.error()});
        state_.start.postpone(time_.now() + join_retry_delay);
        co_await daemon::sleep_for(join_retry_delay);
    }
    if (stopping_)
    {
        // stop() could not announce that this router leaves, so the others must not hear of it.
        co_return;
    }
    for (const replicated_row& row : listed_routers.rows)
    {
        if (row.key == settings_.name.view())
        {
            // The wall clock may have stepped back since the previous run of this router.
            self.incarnation = std::max(self.incarnation, peer_service::parse_incarnation(row) + 1);
        }
    }
    peer_service_ =
        std::make_unique<peer_service>(context_, time_, std::move(self), settings_.cpu_share);
    peer_service_->on_change([this] { update_routers(); });
    const std::error_code ec = peer_service_->start();
    if (ec)
    {
        log_event(log_level::error, "peer_socket_failed", {ec});
        context_.stop();
        co_return;
    }
    origin_service_ =
        std::make_unique<origin_service>(context_, time_, state_.origins, *peer_service_);
    state_.origin_exchange = origin_service_.get();
    state_.announce_brittle = [this](const service_id& service, std::uint32_t per_second)
    {
        peer_service_->announce_brittle(service, per_second);
    };
    peer_service_->on_brittle(
        [this](const service_id& service, std::uint32_t per_second)
        {
            if (state_.brittle.record_announcement(service, per_second, time_.now()))
            {
                log_event(log_level::info, "service_brittle",
                          {{"service", service}, {"max_rejections_per_s", per_second}});
            }
        });
    reach_service_ = std::make_unique<reach_service>(context_, state_, *peer_service_);
    reach_service_->on_cut_off(
        [this] { request_service_.leave_silent_connections(time_.now() - silent_period); });
    source_choice_config choice_config;
    choice_config.timing = replication_timing::for_change_delay(state_.max_change_delay());
    source_choice choice(choice_config, settings_.name, settings_.zone);
    replication_callbacks callbacks;
    callbacks.on_rows_changed = [this](shared_table table, std::span<const replicated_row> rows,
                                       std::optional<time_point> rewritten_by)
    {
        eras_.at(table).record_changes(rows, time_.now());
        apply_changes(table, rows, rewritten_by);
    };
    callbacks.on_era_entered =
        [this](shared_table table, std::span<const replicated_row> rows, time_point rewritten_by)
    {
        enter_era(table, rows, rewritten_by);
    };
    callbacks.on_current = [this](time_point instant)
    {
        state_.operations_lease.renew(instant);
    };
    callbacks.on_updated = [this]
    {
        update_lifecycle();
    };
    callbacks.on_start_delayed = [this](time_point at_earliest)
    {
        state_.start.postpone(at_earliest);
    };
    callbacks.open_requests = [this]
    {
        return state_.endpoints.open_requests();
    };
    callbacks.on_fleet_loads = [this](const load_changes& changes)
    {
        state_.endpoints.apply_fleet_loads(changes, time_.now());
    };
    callbacks.send_to_relay =
        [this](const router_id& relay, sum_kind kind, std::span<const engine_requests> sums)
    {
        peer_service_->send_sums(relay, kind, sums);
    };
    callbacks.failing_endpoints = [this]
    {
        // While this router's own link is in doubt, its losses say nothing about endpoints.
        const bool reached = state_.reach.state(time_.now()) == reach_state::reached;
        return reached ? state_.endpoints.failing_endpoints(time_.now())
                       : std::vector<engine_requests>();
    };
    callbacks.on_fleet_failures = [this](const load_changes& changes)
    {
        state_.endpoints.apply_fleet_failures(changes, time_.now());
    };
    callbacks.live_routers = [this]
    {
        return with_self(peer_service_->live_peers());
    };
    callbacks.registered_routers = [this]
    {
        return with_self(peer_service_->registered_peers());
    };
    replication_ =
        std::make_unique<replication_service>(context_, time_, *platform_.tables, settings_.name,
                                              std::move(choice), std::move(callbacks));
    state_.confirm_endpoints = [this]
    {
        return replication_->confirm(shared_table::endpoints, confirm_wait);
    };
    start_rollouts();
    replication_->start(listed_routers, settings_.first_start);
    peer_service_->on_sighting(
        [this](const prefix_sighting& sighting)
        {
            if (state_.prefixes.apply(sighting, time_.now()))
            {
                state_.pending_sightings.push_back(sighting);
            }
        });
    peer_service_->on_part_report([this](const part_report& report) { apply_part_report(report); });
    peer_service_->on_sums([this](const group_sums& sums)
                           { replication_->record_group_sums(sums); });
    asio::co_spawn(context_, gossip(), asio::detached);
    co_await announce_self();
}

std::vector<relay_peer> server::with_self(std::vector<relay_peer> peers) const
{
    relay_peer self;
    self.candidate = {settings_.name, settings_.zone, settings_.cpu_share};
    peers.push_back(std::move(self));
    return peers;
}

awaitable<void> server::gossip()
{
    time_point reminded_at = time_.now();
    for (;;)
    {
        co_await daemon::sleep_for(gossip_interval);
        if (!state_.pending_sightings.empty())
        {
            peer_service_->gossip(state_.pending_sightings);
            state_.pending_sightings.clear();
        }
        const time_point now = time_.now();
        if (now - reminded_at >= reminder_interval)
        {
            reminded_at = now;
            state_.quarantine.expire(now);
            state_.announce(state_.quarantine.reminders(now));
        }
        write_quarantine_records(now);
        if (!state_.pending_part_reports.empty())
        {
            std::vector<part_report> reports;
            for (const queued_part_report& queued : state_.pending_part_reports)
            {
                reports.push_back(queued.report);
                reports.back().age = queued.report.age + (now - queued.queued_at);
            }
            state_.pending_part_reports.clear();
            peer_service_->gossip(reports);
        }
    }
}

void server::apply_routes(route_table routes)
{
    if (state_.routes && routes.version() <= state_.routes->version())
    {
        return;
    }
    log_event(log_level::info, "configuration_adopted",
              {{"version", routes.version()}, {"routes", routes.routes().size()}});
    state_.routes = std::make_shared<const route_table>(std::move(routes));
    caller_server_.set_limits(to_http_limits(state_.routes->limits(), settings_));
    peer_server_.set_limits(to_peer_limits(state_.routes->limits()));
    configure_streams();
}

void server::update_routers()
{
    state_.routers = peer_service_->possible_routers();
}

void server::reload(const server_settings& settings)
{
    settings_.bounds = settings.bounds;
    state_.apply_bounds(settings.bounds);
    settings_.overload = settings.overload;
    state_.overload.set_config(settings.overload);
    if (replication_)
    {
        replication_->set_timing(replication_timing::for_change_delay(state_.max_change_delay()));
    }
    if (!stopping_)
    {
        planned_stop_ = planned_stop(to_stop_config(settings.bounds));
    }
    log_event(log_level::info, "settings_reloaded",
              {{"revocation_ms", settings.bounds.max_revocation_delay},
               {"config_ms", settings.bounds.max_config_delay},
               {"drain_ms", settings.bounds.max_drain_delay}});
}

} // namespace endivestage::serving
