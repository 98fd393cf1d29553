#include <endivestage/serving/router_metrics.hpp>

namespace endivestage::serving
{

namespace
{

double to_seconds(millis time)
{
    return static_cast<double>(time.count) / 1000.0;
}

} // namespace

void router_metrics::record_request(std::string_view result, bool streaming, millis duration)
{
    registry_
        .get_counter("endivestage_requests_total", "Requests of callers by how they ended.",
                     {{"result", std::string(result)}})
        .add();
    registry_
        .get_distribution("endivestage_request_seconds",
                          "Time from a request's first byte to the end of its answer.",
                          {{"kind", streaming ? "stream" : "plain"}})
        .observe(to_seconds(duration));
}

void router_metrics::record_attempt(endpoint_outcome outcome)
{
    registry_
        .get_counter("endivestage_attempts_total", "Attempts at endpoints by how they ended.",
                     {{"outcome", std::string(to_string(outcome))}})
        .add();
}

void router_metrics::record_notice(std::string_view kind)
{
    registry_
        .get_counter("endivestage_endpoint_notices_total",
                     "What endpoints said of themselves in answers.", {{"kind", std::string(kind)}})
        .add();
}

void router_metrics::record_take_up(std::string_view step)
{
    registry_
        .get_counter("endivestage_stream_take_ups_total",
                     "Streams that callers take up, by what follows.",
                     {{"step", std::string(step)}})
        .add();
}

void router_metrics::record_first_event(millis latency)
{
    registry_
        .get_distribution("endivestage_first_event_seconds",
                          "Time from a request's first byte to the first event of its stream.")
        .observe(to_seconds(latency));
}

void router_metrics::record_brittle_rejection()
{
    registry_
        .get_counter("endivestage_brittle_rejections_total",
                     "Requests that were rejected by brittle endpoints.")
        .add();
}

void router_metrics::record_unknown_load_report()
{
    registry_
        .get_counter("endivestage_unknown_load_reports_total",
                     "Load reports of endpoints with an unknown number of figures.")
        .add();
}

void router_metrics::record_first_event_timeout()
{
    registry_
        .get_counter("endivestage_first_event_timeouts_total",
                     "Attempts that were given up without a first event.")
        .add();
}

void router_metrics::record_estimate(millis estimated, millis took)
{
    const bool late = took > estimated;
    registry_
        .get_distribution("endivestage_estimate_error_seconds",
                          "Difference between a first event's time and its estimate.",
                          {{"first_event", late ? "later" : "sooner"}})
        .observe(to_seconds(late ? took - estimated : estimated - took));
}

void router_metrics::record_admission(std::string_view decision)
{
    registry_
        .get_counter("endivestage_admissions_total",
                     "Requests to contended services by what was decided.",
                     {{"decision", std::string(decision)}})
        .add();
}

void router_metrics::record_room_wait(millis wait)
{
    registry_
        .get_distribution("endivestage_room_wait_seconds",
                          "Time for which requests waited for room at their service.")
        .observe(to_seconds(wait));
}

void router_metrics::record_connection(bool success)
{
    registry_
        .get_counter("endivestage_connections_total", "Connections opened to endpoints.",
                     {{"result", success ? "opened" : "failed"}})
        .add();
}

void router_metrics::record_handover(std::string_view result)
{
    registry_
        .get_counter("endivestage_handovers_total",
                     "Requests offered to other routers by what came of it.",
                     {{"result", std::string(result)}})
        .add();
}

void router_metrics::record_rollout_response(bool new_version, bool failed)
{
    registry_
        .get_counter(
            "endivestage_rollout_responses_total", "Responses during roll-outs.",
            {{"result", failed ? "failed" : "other"}, {"version", new_version ? "new" : "old"}})
        .add();
}

void router_metrics::record_rollout_write(bool success)
{
    registry_
        .get_counter("endivestage_rollout_writes_total",
                     "Steps of roll-outs that this router tried to store.",
                     {{"result", success ? "stored" : "failed"}})
        .add();
}

void router_metrics::set_rollout(const service_id& service, double share)
{
    registry_
        .get_gauge("endivestage_rollout_share",
                   "Part of the requests that the ordered version may get.",
                   {{"service", service.str()}})
        .set(share);
}

void router_metrics::record_loop_delay(millis delay)
{
    registry_
        .get_distribution("endivestage_loop_delay_seconds",
                          "How late the event loop handled a timer.")
        .observe(to_seconds(delay));
}

void router_metrics::set_ended_waits(std::string_view result, std::uint64_t ended)
{
    registry_
        .get_counter("endivestage_held_requests_total",
                     "Requests that waited for the tables of the starting router.",
                     {{"result", std::string(result)}})
        .raise_to(ended);
}

void router_metrics::set_held_requests(std::size_t requests, std::size_t bytes)
{
    registry_
        .get_gauge("endivestage_held_requests",
                   "Requests that wait until this router has its tables.")
        .set(static_cast<double>(requests));
    registry_.get_gauge("endivestage_held_bytes", "Bytes of requests that wait for the tables.")
        .set(static_cast<double>(bytes));
}

void router_metrics::set_gauges(const router_gauges& values)
{
    const auto set_gauge = [this](std::string_view name, std::string_view help, double value)
    {
        registry_.get_gauge(name, help).set(value);
    };
    set_gauge("endivestage_open_requests", "Requests being served.",
              static_cast<double>(values.open_requests));
    set_gauge("endivestage_waiting_requests", "Requests that wait for room at their service.",
              static_cast<double>(values.waiting_requests));
    set_gauge("endivestage_idle_connections", "Kept connections to endpoints without a request.",
              static_cast<double>(values.idle_connections));
    set_gauge("endivestage_endpoints", "Endpoints that are known.",
              static_cast<double>(values.endpoints));
    set_gauge("endivestage_routers", "Routers that may be running, this one included.",
              static_cast<double>(values.routers));
    set_gauge("endivestage_endpoint_notices",
              "Endpoints that leave or want no requests by their own answers.",
              static_cast<double>(values.notices));
    set_gauge("endivestage_brittle_services",
              "Services whose endpoints fail if they have to reject many requests.",
              static_cast<double>(values.brittle_services));
    set_gauge("endivestage_failing_endpoints", "Endpoints that several routers see fail.",
              static_cast<double>(values.failing_endpoints));
    set_gauge("endivestage_response_bytes", "Bytes of answers that are being read.",
              static_cast<double>(values.response_bytes));
    set_gauge("endivestage_request_bytes", "Bytes reserved for requests of callers.",
              static_cast<double>(values.request_bytes));
    set_gauge("endivestage_unfinished_request_bytes",
              "Bytes reserved for requests that have not arrived whole.",
              static_cast<double>(values.unfinished_request_bytes));
    set_gauge("endivestage_caller_connections", "Open connections of callers.",
              static_cast<double>(values.caller_connections));
    registry_
        .get_counter("endivestage_evicted_requests_total",
                     "Unfinished requests that gave their memory to others.")
        .raise_to(values.evicted_requests);
    set_gauge("endivestage_config_version", "Version of the configuration in force.",
              static_cast<double>(values.config_version));
    set_gauge("endivestage_copy_age_seconds",
              "Age of the copy of the operator's table; negative before the first one.",
              to_seconds(values.copy_age));
    set_gauge("endivestage_endpoints_copy_age_seconds",
              "Age of the copy of the endpoints' table; negative before the first one.",
              to_seconds(values.endpoints_copy_age));
    set_gauge("endivestage_taken_requests", "Requests being served for other routers.",
              static_cast<double>(values.taken_requests));
    set_gauge("endivestage_cut_off", "1 while this router reaches no endpoint.",
              values.cut_off ? 1.0 : 0.0);
    registry_
        .get_counter("endivestage_cuts_total",
                     "Times that this router was cut off from all endpoints.")
        .raise_to(values.cuts);
    set_gauge("endivestage_relaying", "1 while this router serves table changes to others.",
              values.relaying ? 1.0 : 0.0);
    set_gauge("endivestage_primary", "1 while this router polls the table service for the fleet.",
              values.primary ? 1.0 : 0.0);
    set_gauge("endivestage_quarantined_parts",
              "Parts of prompts that are kept from engines because they crash them.",
              static_cast<double>(values.quarantined_parts));
    set_gauge("endivestage_ready", "1 while this router takes requests.", values.ready ? 1.0 : 0.0);
    registry_.get_counter("endivestage_store_calls_total", "Calls made to the table service.")
        .raise_to(values.store_calls);
    set_gauge("endivestage_store_era", "Era of the table service that the copies belong to.",
              static_cast<double>(values.store_era));
    registry_
        .get_counter("endivestage_store_restores_total",
                     "Times that the table service came back from an older copy.")
        .raise_to(values.store_restores);
}

} // namespace endivestage::serving
