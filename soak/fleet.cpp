#include <soak/fleet.hpp>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fstream>
#include <utility>

namespace endivestage::soak
{

namespace json = boost::json;
using daemon::awaitable;
using daemon::http_request;
using standin::engine_reply;

namespace
{

constexpr std::uint16_t caller_port = 8227;
constexpr std::uint16_t readiness_port = 8220;
constexpr std::uint16_t directory_port = 8224;
constexpr std::uint16_t metrics_port = 9464;
constexpr std::uint16_t peer_port = 7340;
constexpr std::array<const char*, 3> zones{"zone-a", "zone-b", "zone-c"};
constexpr std::array<const char*, 2> versions{"v1", "v2"};
constexpr const char* health_path = "/healthz";
constexpr millis cold_period{3000};
constexpr int event_count_limit = 12; // Exclusive.

/// Routes that no caller uses; they make the configuration about 350 KB large.
constexpr int extra_route_count = 1500;
/// Added to the response time of one in \ref slow_ratio requests, so that they outlast changes.
constexpr std::uint64_t max_slow_ms = 2500;
constexpr std::uint64_t slow_ratio = 12;
/// Belongs to no request, since it names none.
constexpr const char* unnamed_refusal =
    "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

json::object make_route(const std::string& name, const std::string& prefix, const char* type,
                        bool resumable)
{
    const bool once = std::string_view(type) == "non_idempotent";
    return {{"name", name},
            {"host", "soak.example"},
            {"path_prefix", prefix},
            {"route_type", type},
            {"timeout_ms", soak_fleet::route_timeout.count},
            {"slo_ms", 500},
            {"priority", 1},
            {"service", "pool"},
            {"max_attempts", once ? 1 : 3},
            {"anonymous", false},
            {"sticky", std::string_view(type) == "streaming"},
            {"resumable", resumable}};
}

/// \returns A number below \p limit that engine and caller both derive from the request's id.
std::uint64_t derive_number(const std::string& request, std::uint64_t limit)
{
    return hash64(request) % limit;
}

/// \returns Whether an engine shows the other form of its behavior to a request.
bool is_variant(const std::string& request)
{
    return derive_number(request + " variant", 2) == 0;
}

bool is_stream(const http_request& request)
{
    return request.target.starts_with("/s/") || request.target.starts_with("/r/");
}

} // namespace

awaitable<bool> is_listening(daemon::network_address address)
{
    boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
    daemon::http_connection connection(executor);
    const std::error_code ec = co_await connection.connect(address, millis{300}, millis{300});
    co_return !ec;
}

soak_fleet::soak_fleet(boost::asio::io_context& context, soak_fleet_settings settings)
    : store(context),
      random(hash64("soak", settings.seed)),
      context_(context),
      settings_(std::move(settings))
{
}

bool soak_fleet::start()
{
    if (store.start())
    {
        return false;
    }
    write_configuration();
    for (std::size_t n = 0; n < settings_.engine_count; ++n)
    {
        if (!add_engine(false))
        {
            return false;
        }
    }
    for (std::size_t n = 0; n < settings_.router_count; ++n)
    {
        if (!add_router(n))
        {
            return false;
        }
    }
    return true;
}

void soak_fleet::write_configuration()
{
    json::array routes;
    routes.push_back(make_route("order", "/o/", "non_idempotent", false));
    routes.push_back(make_route("lookup", "/i/", "idempotent", false));
    routes.push_back(make_route("stream", "/s/", "streaming", false));
    routes.push_back(make_route("resume", "/r/", "streaming", true));
    const int extra_routes = random.below(3) == 0 ? extra_route_count : 0;
    for (int n = 0; n < extra_routes; ++n)
    {
        const std::string number = std::to_string(n);
        routes.push_back(make_route("extra-" + number, "/x/" + number + "/", "idempotent", false));
    }
    constexpr std::array idle_timeouts{millis{300}, millis{800}, millis{10000}};
    idle_timeout_ = idle_timeouts[random.below(idle_timeouts.size())];
    const bool low_limits = random.below(3) == 0;
    json::array api_keys;
    for (const std::string& key : keys)
    {
        api_keys.emplace_back(key);
    }
    const json::object configuration{
        {"version", configuration_version_},
        {"routes", std::move(routes)},
        {"services", json::array{json::object{{"name", "pool"},
                                              {"health_path", health_path},
                                              {"max_conns", 100},
                                              {"cold_start_s", 3.0},
                                              {"cold_per_s", 8.0}}}},
        {"limits", json::object{{"max_header_bytes", low_limits ? 1024 : 16384},
                                {"max_body_bytes", low_limits ? 1024 : 1048576},
                                {"header_timeout_ms", low_limits ? 500 : 3000},
                                {"idle_timeout_ms", idle_timeout_.count}}},
        {"tenants",
         json::array{json::object{{"name", "buyers"}, {"api_keys", std::move(api_keys)}}}}};
    configuration_version_ += 1 + random.below(3);
    store.put("op", "config", json::serialize(configuration));
}

bool soak_fleet::add_engine(bool cold)
{
    engines.push_back(std::make_unique<soak_engine>());
    soak_engine& engine = *engines.back();
    const std::size_t number = ++created_engines_;
    engine.id = "engine-" + std::to_string(number);
    engine.zone = zones[number % zones.size()];
    engine.incarnation = 1000 + static_cast<std::int64_t>(number);
    // In one run of four a second version comes only later.
    const bool mixed = settings_.seed % 4 != 0 || number > settings_.engine_count;
    engine.version = mixed ? versions[number % versions.size()] : versions.front();
    engine.server = std::make_unique<standin::platform_engine>(
        context_,
        [this, &engine](const http_request& request) { return respond(engine, request); });
    if (engine.server->start())
    {
        return false;
    }
    engine.link = std::make_unique<standin::fault_proxy>(
        context_, daemon::network_address{"127.0.0.1", engine.server->port()});
    if (engine.link->start({"127.0.0.1", 0}))
    {
        return false;
    }
    apply_router_cut(engine);
    engine.cold_until = cold ? now() + cold_period : now();
    write_engine_record(engine);
    return true;
}

void soak_fleet::write_engine_record(const soak_engine& engine)
{
    const json::object record{
        {"service", "pool"},
        {"address", "127.0.0.1:" + std::to_string(engine.link->port())},
        {"zone", engine.zone},
        {"version", engine.version},
        {"slots", 32},
        {"state", engine.draining ? "draining" : "ready"},
        {"cold_left_ms", std::max<std::int64_t>(0, (engine.cold_until - now()).count)},
        {"born", engine.incarnation},
        {"sequence", now().since_epoch}};
    store.put("servers", engine.id, json::serialize(record));
}

void soak_fleet::begin_drain(soak_engine& engine)
{
    engine.draining = true;
    write_engine_record(engine);
    checker.record_engine_leaving(engine.id, now());
}

void soak_fleet::remove(soak_engine& engine)
{
    store.erase("servers", engine.id);
    checker.record_engine_leaving(engine.id, now());
    engine.server->stop();
    engine.link->set_fault(standin::link_fault::refuse);
}

void soak_fleet::set_router_cut(soak_router& router, standin::link_fault fault)
{
    cut_router_ = &router;
    cut_ = fault;
    for (const std::unique_ptr<soak_engine>& engine : engines)
    {
        apply_router_cut(*engine);
    }
}

void soak_fleet::apply_router_cut(soak_engine& engine)
{
    engine.link->set_client_fault([this] { return cut_router_->process->connections(); }, cut_);
}

bool soak_fleet::add_router(std::size_t number)
{
    routers.push_back(std::make_unique<soak_router>());
    soak_router& router = *routers.back();
    router.name = "router-" + std::to_string(number + 1);
    // Each router of each run has its own loopback address, since the routers use fixed ports.
    router.host =
        "127." + std::to_string(100 + settings_.seed % 100) + ".1." + std::to_string(number + 1);
    router.store_link = std::make_unique<standin::fault_proxy>(
        context_, daemon::network_address{"127.0.0.1", store.port()});
    if (router.store_link->start({"127.0.0.1", 0}))
    {
        return false;
    }
    const auto make_address = [&](std::uint16_t port)
    {
        return router.host + ":" + std::to_string(port);
    };
    const json::object settings{
        {"router", json::object{{"name", router.name},
                                {"zone", zones[number % zones.size()]},
                                {"region", "north"},
                                {"host", router.host},
                                {"peer_port", peer_port},
                                {"cpu_share", 0.25},
                                {"first_start", false}}},
        {"listen", json::object{{"callers", make_address(caller_port)},
                                {"readiness", make_address(readiness_port)},
                                {"directory", make_address(directory_port)},
                                {"metrics", make_address(metrics_port)}}},
        {"platform",
         json::object{{"table_service", "127.0.0.1:" + std::to_string(router.store_link->port())}}},
        {"bounds", json::object{{"revocation_ms", 5000},
                                {"config_ms", 2000},
                                {"drain_ms", 2000},
                                {"repeat_ratio", 0.5},
                                {"repeat_window_s", 10},
                                {"repeat_allowance", 200},
                                {"cold_overshoot", 1.5},
                                {"cold_slack", 5},
                                {"stop_grace_s", 8},
                                {"address_lifetime_s", 2}}}};
    const std::string file = settings_.folder + "/" + router.name + ".json";
    std::ofstream(file) << json::serialize(settings);
    router.process = std::make_unique<router_process>(
        settings_.program, file, settings_.folder + "/" + router.name + ".log");
    return router.process->start();
}

daemon::network_address soak_fleet::caller_address(const soak_router& router)
{
    return {router.host, caller_port};
}

daemon::network_address soak_fleet::directory_address(const soak_router& router)
{
    return {router.host, directory_port};
}

std::string soak_fleet::expected_body(const std::string& request)
{
    return "answer to " + request + " " + std::string(derive_number(request, 4000), '.');
}

int soak_fleet::event_count(const std::string& request)
{
    return 3 + static_cast<int>(derive_number(request, event_count_limit - 3));
}

std::string soak_fleet::make_event(const std::string& request, int number,
                                   const std::string& version)
{
    return "id: " + std::to_string(number * tokens_per_event) + "\ndata: " + request + "/" +
           std::to_string(number) + (number == event_count(request) ? " last" : "") +
           "\ndata: " + version + "\n\n";
}

std::string soak_fleet::random_version()
{
    return versions[random.below(versions.size())];
}

engine_reply soak_fleet::respond(soak_engine& engine, const http_request& request)
{
    engine_reply reply;
    const std::string id = standin::request_id(request);
    const bool addressed = standin::is_addressed_to(request, engine.id);
    const std::string notice = engine.draining ? "Server-Leaving: 1\r\n" : "";
    if (!addressed)
    {
        reply.pieces.push_back(standin::make_not_executed(request, 421));
        return reply;
    }
    if (engine.behavior == engine_behavior::full)
    {
        // Some engines ask for a pause; a few say so in a form that is not allowed.
        constexpr std::array pauses{"", "Retry-After: 0.4\r\n", "Retry-After: soon\r\n"};
        const std::string pause = pauses[derive_number(id, pauses.size())];
        reply.pieces.push_back(
            standin::make_response(request, 503, {}, "X-Not-Executed: 1\r\n" + notice + pause));
        return reply;
    }
    if (id.empty() && request.method == "GET" && request.target == health_path)
    {
        checker.record_health_check(engine.id, now());
    }
    else
    {
        checker.record_execution(id, engine.id, engine.zone, now());
    }
    if (engine.behavior == engine_behavior::reset)
    {
        reply.final_action = engine_reply::connection_action::reset;
        return reply;
    }
    if (engine.behavior == engine_behavior::silent)
    {
        reply.final_action = engine_reply::connection_action::hang;
        return reply;
    }
    if (engine.behavior == engine_behavior::failing)
    {
        const int status = is_variant(id) ? 999 : 500;
        reply.pieces.push_back(standin::make_response(request, status, "failed"));
        return reply;
    }
    if (engine.behavior == engine_behavior::mismatched)
    {
        http_request other;
        other.fields = {{"X-Attempt-Id", "of-somebody-else"}};
        reply.pieces.push_back(is_variant(id) ? std::string(unnamed_refusal)
                                              : standin::make_response(other, 200, "not yours"));
    }
    const bool truncated = engine.behavior == engine_behavior::truncated;
    reply.final_action = truncated ? engine_reply::connection_action::reset
                                   : engine_reply::connection_action::keep_open;
    const std::uint64_t slow_ms =
        derive_number(id, slow_ratio) == 0 ? derive_number(id + " delay", max_slow_ms) : 0;
    if (!is_stream(request))
    {
        reply.delay = millis{static_cast<std::int64_t>(slow_ms)};
        const std::string complete =
            standin::make_response(request, 200, expected_body(id), notice);
        reply.pieces.push_back(truncated ? complete.substr(0, complete.size() - 3) : complete);
        return reply;
    }
    // The delay comes before each piece: events, head and end.
    reply.delay = millis{20 + static_cast<std::int64_t>(slow_ms) / (event_count_limit + 2)};
    reply.pieces.push_back(standin::make_stream_head(request));
    const std::string first_attempt(daemon::find_field(request.fields, "Resumes"));
    const std::string stream = first_attempt.empty() ? id : first_attempt;
    const int count = event_count(stream);
    for (int n = standin::last_event_id(request) / tokens_per_event + 1; n <= count; ++n)
    {
        std::string chunk = standin::make_chunk(make_event(stream, n, engine.version));
        if (truncated && n == count && is_variant(id))
        {
            // The text of an error, and an orderly end.
            reply.pieces.push_back(standin::make_chunk("internal error\n\n"));
            reply.final_action = engine_reply::connection_action::keep_open;
            break;
        }
        if (truncated && n == count)
        {
            // The stream ends in the middle of the last event.
            chunk.resize(chunk.size() / 2);
            reply.pieces.push_back(std::move(chunk));
            return reply;
        }
        reply.pieces.push_back(std::move(chunk));
    }
    reply.pieces.emplace_back(standin::last_chunk);
    return reply;
}

} // namespace endivestage::soak
