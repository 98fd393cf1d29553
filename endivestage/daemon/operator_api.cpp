#include <endivestage/daemon/operator_api.hpp>

#include <endivestage/daemon/caller_error.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/signing.hpp>

#include <boost/json.hpp>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr std::size_t timeline_limit = 2000;
constexpr millis peer_timeout{1000};

http_response ok(const json::value& body)
{
    return make_json_response(json::serialize(body));
}

http_response error(errc code, std::string reason = {})
{
    return make_error_response({code, execution::not_run, std::move(reason), {}});
}

json::object zone_to_json(const zone_register& value, zone_storage storage)
{
    return {{"zone", value.zone.str()},
            {"state", std::string(to_string(value.state))},
            {"counter", value.counter},
            {"author", value.author},
            {"stored", storage == zone_storage::stored || value.counter == 0}};
}

timeline_filter decode_filter(const std::string& request, const std::string& host,
                              const std::string& zone)
{
    timeline_filter filter;
    filter.request = request_id(request);
    filter.host = host;
    filter.zone = zone_id(zone);
    return filter;
}

event_kind kind_from_name(std::string_view name)
{
    for (int n = 0; n <= static_cast<int>(event_kind::store_available); ++n)
    {
        if (to_string(static_cast<event_kind>(n)) == name)
        {
            return static_cast<event_kind>(n);
        }
    }
    return event_kind::router_started;
}

timeline_event decode_event(const json::object& object)
{
    timeline_event event;
    event.at = {get_number(object, "at_ms"),
                static_cast<std::uint32_t>(get_unsigned(object, "at_counter"))};
    event.router = router_id(get_text(object, "router"));
    event.zone = zone_id(get_text(object, "zone"));
    event.kind = kind_from_name(get_text(object, "kind"));
    event.request = request_id(get_text(object, "request"));
    event.endpoint = endpoint_id(get_text(object, "endpoint"));
    for (const json::key_value_pair& field : get_object(object, "fields"))
    {
        event.fields.emplace_back(std::string(field.key()),
                                  get_text(get_object(object, "fields"), field.key()));
    }
    return event;
}

json::object entry_to_json(const ledger_entry& entry)
{
    return {{"key", entry.key},
            {"state", std::string(to_string(entry.row.state))},
            {"attempt", entry.row.attempt.str()},
            {"router", entry.row.router.str()},
            {"deadline_ms", entry.row.deadline.since_epoch},
            {"changed_ms", entry.row.changed.since_epoch},
            {"status", entry.row.answer.status}};
}

json::array faults_to_json(const std::vector<configuration_fault>& faults)
{
    json::array list;
    for (const configuration_fault& fault : faults)
    {
        list.push_back(json::object{{"file", fault.file},
                                    {"key", fault.path},
                                    {"kind", std::string(to_string(fault.kind))},
                                    {"reason", fault.reason}});
    }
    return list;
}

std::vector<configuration_file> read_files(const json::object& body)
{
    std::vector<configuration_file> files;
    for (const json::value& file : get_array(body, "files"))
    {
        if (file.is_object())
        {
            files.push_back(
                {get_text(file.get_object(), "name"), get_text(file.get_object(), "content")});
        }
    }
    return files;
}

} // namespace

operator_api::operator_api(node_context& node, configuration_service& configuration,
                           cluster_service& cluster, admission_service& admission,
                           service_caller& services, std::function<void()> stop,
                           std::function<std::string()> stop_state)
    : node_(node),
      configuration_(configuration),
      cluster_(cluster),
      admission_(admission),
      services_(services),
      stop_(std::move(stop)),
      stop_state_(std::move(stop_state))
{
}

void operator_api::start()
{
    node_.rpc.handle(
        "/timeline/read",
        [this](router_id, const json::object& body) -> awaitable<rpc_answer>
        {
            const timeline_filter filter = decode_filter(
                get_text(body, "request"), get_text(body, "host"), get_text(body, "zone"));
            json::array events;
            for (const timeline_event& event : node_.events.select(filter, timeline_limit))
            {
                events.push_back(json::parse(render_json(event)));
            }
            co_return json::object{{"events", std::move(events)}};
        });
}

bool operator_api::handles(const http_target& target)
{
    return target.segments.size() >= 3 && target.segments[0] == "v1" &&
           target.segments[1] == "operator";
}

bool operator_api::authorized(const http_request& request) const
{
    std::string_view given = find_field(request.fields, "Authorization");
    constexpr std::string_view prefix = "Bearer ";
    if (!given.starts_with(prefix))
    {
        return false;
    }
    given.remove_prefix(prefix.size());
    bool known = false;
    for (const secret& token : node_.settings.operator_tokens)
    {
        known = constant_time_equal(given, token.reveal()) || known;
    }
    return known;
}

awaitable<void> operator_api::handle(const http_request& request, const http_target& target,
                                     response_writer& writer)
{
    http_response response = error(errc::unauthorized, "operator calls need a bearer token");
    if (authorized(request))
    {
        response = co_await dispatch(request, target);
    }
    co_await writer.send(std::move(response));
}

awaitable<http_response> operator_api::dispatch(const http_request& request,
                                                const http_target& target)
{
    const std::string& resource = target.segments[2];
    const std::size_t depth = target.segments.size();
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (resource == "status" && get)
    {
        co_return status();
    }
    if (resource == "zones" && get && depth == 3)
    {
        co_return list_zones();
    }
    if (resource == "zones" && request.method == "PUT" && depth == 4)
    {
        co_return co_await change_zone(target.segments[3], request);
    }
    if (resource == "configuration")
    {
        if (post)
        {
            co_return co_await apply_configuration(request);
        }
        co_return show_configuration();
    }
    if (resource == "timeline" && get)
    {
        co_return co_await timeline(target);
    }
    if (resource == "requests" && get && depth == 3)
    {
        co_return co_await list_requests(target);
    }
    if (resource == "requests" && depth == 5)
    {
        if (post)
        {
            co_return co_await settle_request(request, target);
        }
        co_return co_await show_request(target);
    }
    if (resource == "stop" && post)
    {
        stop_();
        co_return ok(json::object{{"stop", stop_state_()}});
    }
    co_return error(errc::not_found, "no such operator call");
}

http_response operator_api::status() const
{
    json::object body{{"router", node_.settings.id.str()},
                      {"zone", node_.settings.zone.str()},
                      {"region", node_.settings.region.str()},
                      {"stop", stop_state_()},
                      {"store_available", node_.platform.store_available()},
                      {"configuration_version", configuration_.in_force().version},
                      {"configuration_state", std::string(to_string(configuration_.state()))},
                      {"held_permits", admission_.held_count()}};
    const view_pointer present = cluster_.view_now();
    json::array members;
    if (present)
    {
        body["view"] = present->number;
        body["view_state"] = present->state == view_state::active ? "active" : "preparing";
        for (const member& who : present->members)
        {
            members.push_back(json::object{{"id", who.id.str()},
                                           {"zone", who.zone.str()},
                                           {"leaving", who.leaving},
                                           {"live", cluster_.is_serving(who.id)}});
        }
    }
    body["members"] = std::move(members);
    body["engines"] = admission_.describe();
    return ok(body);
}

http_response operator_api::list_zones() const
{
    json::array list;
    for (const std::pair<zone_register, zone_storage>& entry : configuration_.zones())
    {
        list.push_back(zone_to_json(entry.first, entry.second));
    }
    return ok(json::object{{"zones", std::move(list)}});
}

awaitable<http_response> operator_api::change_zone(std::string zone, const http_request& request)
{
    const result<json::object> body = parse_json_object(request.body);
    const std::string state = body ? get_text(*body, "state") : std::string();
    if (state != "in_service" && state != "out_of_service")
    {
        co_return error(errc::invalid_request, "state must be in_service or out_of_service");
    }
    const zone_state wanted =
        state == "in_service" ? zone_state::in_service : zone_state::out_of_service;
    const result<zone_storage> storage =
        co_await configuration_.set_zone(zone_id(zone), wanted, get_text(*body, "author"));
    if (!storage)
    {
        co_return error(to_errc(storage.error()), "no such zone: " + zone);
    }
    const bool stored = *storage == zone_storage::stored;
    co_return ok(json::object{{"zone", zone},
                              {"state", state},
                              {"stored", stored},
                              {"result", stored ? "in force" : "in force, not yet stored"}});
}

http_response operator_api::show_configuration() const
{
    const std::shared_ptr<const fleet_configuration> present = configuration_.current();
    return present ? make_json_response(to_json(*present))
                   : error(errc::not_found, "no configuration was ever applied");
}

awaitable<http_response> operator_api::apply_configuration(const http_request& request)
{
    const result<json::object> body = parse_json_object(request.body);
    if (!body)
    {
        co_return error(errc::invalid_request, "expected a JSON object with files");
    }
    const std::vector<configuration_file> files = read_files(*body);
    configuration_merge_result merged = merge_configuration(files);
    if (!merged.ok())
    {
        json::object answer{
            {"error", json::object{{"code", "invalid_configuration"}, {"execution", "not_run"}}},
            {"faults", faults_to_json(merged.faults)}};
        co_return make_json_response(json::serialize(answer), 400);
    }
    configuration_commit_request apply;
    apply.configuration = std::move(merged.configuration);
    apply.author = get_text(*body, "author");
    apply.apply_id = std::to_string(node_.random.next()) + node_.settings.id.str();
    if (body->contains("base"))
    {
        apply.base_version = get_unsigned(*body, "base");
    }
    const commit_finished finished = co_await configuration_.commit(std::move(apply));
    if (finished.code == errc::ok)
    {
        co_return ok(json::object{{"version", finished.stamp.version},
                                  {"digest", finished.stamp.digest},
                                  {"superseded", finished.superseded}});
    }
    const execution ran =
        finished.code == errc::outcome_unknown ? execution::unknown : execution::not_run;
    std::string reason;
    if (finished.code == errc::conflict)
    {
        reason = "version " + std::to_string(finished.conflicting_commit.stamp.version) +
                 " was committed by " + finished.conflicting_commit.author;
    }
    co_return make_error_response({finished.code, ran, reason, {}});
}

awaitable<std::vector<timeline_event>> operator_api::read_peer(member peer, json::object question)
{
    std::vector<timeline_event> events;
    const rpc_answer answer = co_await node_.rpc.call(peer_address_of(peer), "/timeline/read",
                                                      std::move(question), peer_timeout);
    if (answer)
    {
        for (const json::value& event : get_array(*answer, "events"))
        {
            if (event.is_object())
            {
                events.push_back(decode_event(event.get_object()));
            }
        }
    }
    co_return events;
}

awaitable<http_response> operator_api::timeline(const http_target& target)
{
    const std::string request(target.parameter("request"));
    const std::string host(target.parameter("host"));
    const std::string zone(target.parameter("zone"));
    std::vector<std::vector<timeline_event>> timelines;
    timelines.push_back(node_.events.select(decode_filter(request, host, zone), timeline_limit));
    for (const member& peer : cluster_.live_peers())
    {
        json::object question{{"request", request}, {"host", host}, {"zone", zone}};
        timelines.push_back(co_await read_peer(peer, std::move(question)));
    }
    const bool as_text = target.parameter("format") == "text";
    std::string text;
    for (const timeline_event& event : merge_timelines(timelines))
    {
        text += (as_text ? render_text(event) : render_json(event)) + "\n";
    }
    http_response response;
    response.fields.emplace_back("Content-Type", as_text ? "text/plain" : "application/x-ndjson");
    response.body = std::move(text);
    co_return response;
}

awaitable<http_response> operator_api::list_requests(const http_target& target)
{
    const std::string team(target.parameter("team"));
    const std::string_view state = target.parameter("state");
    const result<std::vector<ledger_entry>> entries = co_await services_.list(team_id(team));
    if (!entries)
    {
        co_return error(to_errc(entries.error()));
    }
    json::array list;
    for (const ledger_entry& entry : *entries)
    {
        if (state.empty() || to_string(entry.row.state) == state)
        {
            list.push_back(entry_to_json(entry));
        }
    }
    co_return ok(json::object{{"requests", std::move(list)}});
}

awaitable<http_response> operator_api::show_request(const http_target& target)
{
    const team_id team(target.segments[3]);
    const result<ledger_entry> entry = co_await services_.show(team, target.segments[4]);
    if (!entry)
    {
        co_return make_error_response({to_errc(entry.error()), execution::unknown, "", {}});
    }
    json::object body = entry_to_json(*entry);
    body["body"] = entry->row.answer.body;
    co_return ok(body);
}

awaitable<http_response> operator_api::settle_request(const http_request& request,
                                                      const http_target& target)
{
    const result<json::object> body = parse_json_object(request.body);
    const std::string state = body ? get_text(*body, "state") : std::string();
    if (state != "done" && state != "not_run")
    {
        co_return error(errc::invalid_request, "state must be done or not_run");
    }
    const errc code =
        co_await services_.settle(team_id(target.segments[3]), target.segments[4],
                                  state == "done" ? ledger_state::done : ledger_state::not_run);
    if (code != errc::ok)
    {
        co_return error(code, code == errc::conflict ? "the request is not unknown" : "");
    }
    co_return ok(json::object{{"settled", state}});
}

} // namespace endivestage::daemon
