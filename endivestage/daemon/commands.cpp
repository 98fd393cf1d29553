#include <endivestage/daemon/commands.hpp>

#include <endivestage/configuration.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/remote.hpp>
#include <endivestage/daemon/router.hpp>
#include <endivestage/daemon/settings.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

bool succeeded(const result<http_response>& response)
{
    return response && response->status == 200;
}

int print_answer(const result<http_response>& response)
{
    if (!succeeded(response))
    {
        return report_failure(response);
    }
    std::cout << response->body;
    return exit_success;
}

/// Reads all files of a folder whose names end in ".json".
std::optional<std::vector<configuration_file>> read_folder(const std::string& folder)
{
    std::error_code ec;
    std::vector<configuration_file> files;
    for (std::filesystem::directory_iterator it(folder, ec), end; !ec && it != end;
         it.increment(ec))
    {
        if (it->path().extension() != ".json")
        {
            continue;
        }
        std::ifstream file(it->path());
        std::string content((std::istreambuf_iterator<char>(file)), {});
        if (!file)
        {
            std::cerr << "error=invalid_configuration file=" << it->path().filename().string()
                      << " reason=unreadable\n";
            return std::nullopt;
        }
        files.push_back({it->path().filename().string(), std::move(content)});
    }
    if (ec || files.empty())
    {
        std::cerr << "error=invalid_configuration folder=" << folder << " reason=\""
                  << (ec ? ec.message() : "no file ends in .json") << "\"\n";
        return std::nullopt;
    }
    std::sort(files.begin(), files.end(),
              [](const configuration_file& a, const configuration_file& b)
              { return a.name < b.name; });
    return files;
}

void print_faults(const std::vector<configuration_fault>& faults, bool as_json)
{
    for (const configuration_fault& fault : faults)
    {
        if (as_json)
        {
            std::cout << json::object{{"file", fault.file},
                                      {"key", fault.path},
                                      {"kind", std::string(to_string(fault.kind))},
                                      {"reason", fault.reason}}
                      << "\n";
        }
        else
        {
            // A fault of a whole file has no key.
            std::cerr << fault.file << ": " << (fault.path.empty() ? "" : fault.path + ": ")
                      << to_string(fault.kind) << ": " << fault.reason << "\n";
        }
    }
}

/// The files of a folder with the configuration that they form.
struct merged_folder
{
    std::vector<configuration_file> files;
    fleet_configuration configuration;
};

/// Reads and merges a folder; prints what is wrong with it.
std::optional<merged_folder> read_valid_folder(const std::string& folder, bool as_json)
{
    std::optional<std::vector<configuration_file>> files = read_folder(folder);
    if (!files)
    {
        return std::nullopt;
    }
    configuration_merge_result merged = merge_configuration(*files);
    if (!merged.ok())
    {
        print_faults(merged.faults, as_json);
        return std::nullopt;
    }
    return merged_folder{std::move(*files), std::move(merged.configuration)};
}

const char* subject_name(configuration_subject subject)
{
    switch (subject)
    {
    case configuration_subject::pool:
        return "pool";
    case configuration_subject::pool_engine:
        return "engine";
    case configuration_subject::service:
        return "service";
    case configuration_subject::service_pool:
        return "service_pool";
    case configuration_subject::service_endpoint:
        return "service_endpoint";
    case configuration_subject::team:
        return "team";
    case configuration_subject::zone:
        return "zone";
    case configuration_subject::priority:
        return "priority";
    case configuration_subject::limits:
        break;
    }
    return "limits";
}

const char* action_name(configuration_change_kind action)
{
    switch (action)
    {
    case configuration_change_kind::added:
        return "added";
    case configuration_change_kind::removed:
        return "removed";
    case configuration_change_kind::changed:
        break;
    }
    return "changed";
}

void print_change(const configuration_change& change, bool as_json)
{
    if (as_json)
    {
        std::cout << json::object{{"change", action_name(change.kind)},
                                  {"subject", subject_name(change.subject)},
                                  {"parent", change.parent},
                                  {"id", change.id}}
                  << "\n";
        return;
    }
    std::cout << action_name(change.kind) << " " << subject_name(change.subject) << " "
              << (change.parent.empty() ? "" : change.parent + "/") << change.id << "\n";
}

std::string zone_body(bool in_service, const std::string& author)
{
    return json::serialize(
        json::object{{"state", in_service ? "in_service" : "out_of_service"}, {"author", author}});
}

std::string request_target(const std::string& team, const std::string& key)
{
    return "/v1/operator/requests/" + encode_component(team) + "/" + encode_component(key);
}

void print_zones(const json::object& body)
{
    for (const json::value& value : get_array(body, "zones"))
    {
        const json::object& zone = value.as_object();
        std::cout << "zone=" << get_text(zone, "zone") << " state=" << get_text(zone, "state")
                  << " counter=" << get_unsigned(zone, "counter")
                  << " author=" << get_text(zone, "author")
                  << " stored=" << (get_flag(zone, "stored") ? "true" : "false") << "\n";
    }
}

void print_status(const json::object& body)
{
    std::cout << "router=" << get_text(body, "router") << " zone=" << get_text(body, "zone")
              << " stop=" << get_text(body, "stop")
              << " configuration=" << get_unsigned(body, "configuration_version")
              << " configuration_state=" << get_text(body, "configuration_state")
              << " store=" << (get_flag(body, "store_available") ? "up" : "down")
              << " view=" << get_unsigned(body, "view")
              << " held_permits=" << get_unsigned(body, "held_permits") << "\n";
    for (const json::value& value : get_array(body, "members"))
    {
        const json::object& member = value.as_object();
        std::cout << "  member=" << get_text(member, "id") << " zone=" << get_text(member, "zone")
                  << " live=" << (get_flag(member, "live") ? "true" : "false")
                  << " leaving=" << (get_flag(member, "leaving") ? "true" : "false") << "\n";
    }
    for (const json::value& value : get_array(body, "engines"))
    {
        const json::object& engine = value.as_object();
        std::cout << "  engine=" << get_text(engine, "engine")
                  << " pool=" << get_text(engine, "pool")
                  << " load=" << get_unsigned(engine, "load")
                  << " limit=" << get_unsigned(engine, "limit")
                  << " waiting=" << get_unsigned(engine, "waiting")
                  << " warm=" << (get_flag(engine, "warm") ? "true" : "false") << "\n";
    }
}

/// Prints team and key of a row "request/TEAM/KEY" in the form that show and settle take.
void print_row_key(const std::string& row)
{
    http_target target;
    if (!parse_target("/" + row, target) || target.segments.size() != 3)
    {
        std::cout << "row=" << row;
        return;
    }
    std::cout << "team=" << target.segments[1] << " key=" << target.segments[2];
}

void print_requests(const json::object& body)
{
    for (const json::value& value : get_array(body, "requests"))
    {
        const json::object& entry = value.as_object();
        print_row_key(get_text(entry, "key"));
        std::cout << " state=" << get_text(entry, "state")
                  << " router=" << get_text(entry, "router")
                  << " status=" << get_unsigned(entry, "status") << "\n";
    }
}

/// Prints a JSON answer as lines, or as it is when JSON was asked for.
int print_lines(const remote_options& remote, const result<http_response>& response,
                void (*print)(const json::object&))
{
    if (!succeeded(response) || remote.json)
    {
        return print_answer(response);
    }
    const result<json::object> body = parse_json_object(response->body);
    if (!body)
    {
        return exit_failure;
    }
    print(*body);
    return exit_success;
}

} // namespace

int run_router(const std::string& settings_file, bool check_only)
{
    const settings_outcome outcome = load_settings(settings_file);
    if (!outcome.has_value())
    {
        for (const settings_fault& fault : outcome.faults())
        {
            std::cerr << to_string(fault) << "\n";
        }
        return exit_settings;
    }
    const router_settings& settings = outcome.value();
    if (check_only)
    {
        std::cout << "settings are valid\n";
        return exit_success;
    }
    if (const std::error_code ec = start_logging(
            {settings.log_file, settings.id.str(), settings.zone.str(), log_level::info}))
    {
        std::cerr << settings_file << ": log_file: " << ec.message() << "\n";
        return exit_settings;
    }
    router instance(settings);
    if (const std::error_code ec = instance.start())
    {
        std::cerr << settings_file << ": listen: " << ec.message() << ": one of "
                  << settings.listen.host << " ports " << settings.listen.port << ", "
                  << settings.peer_port << ", " << settings.udp_port << "\n";
        return exit_address_in_use;
    }
    instance.run();
    stop_logging();
    return exit_success;
}

int run_config_check(const std::string& folder, bool as_json)
{
    const std::optional<std::vector<configuration_file>> files = read_folder(folder);
    if (!files)
    {
        return exit_settings;
    }
    const configuration_merge_result merged = merge_configuration(*files);
    print_faults(merged.faults, as_json);
    if (!merged.ok())
    {
        return exit_settings;
    }
    if (!as_json)
    {
        std::cout << "valid: " << files->size() << " files, " << merged.configuration.pools.size()
                  << " pools, " << merged.configuration.services.size() << " services, "
                  << merged.configuration.teams.size() << " teams, "
                  << merged.configuration.zones.size() << " zones\n";
    }
    return exit_success;
}

int run_config_apply(const remote_options& remote, const std::string& folder,
                     const std::string& author, std::int64_t base)
{
    const std::optional<merged_folder> source = read_valid_folder(folder, remote.json);
    if (!source)
    {
        return exit_settings;
    }
    json::array list;
    for (const configuration_file& file : source->files)
    {
        list.push_back(json::object{{"name", file.name}, {"content", file.content}});
    }
    json::object body{{"files", std::move(list)}, {"author", author}};
    if (base >= 0)
    {
        body["base"] = base;
    }
    const result<http_response> response =
        call_router(remote, "POST", "/v1/operator/configuration", json::serialize(body));
    return print_lines(remote, response,
                       [](const json::object& answer)
                       { std::cout << "version=" << get_unsigned(answer, "version") << "\n"; });
}

int run_config_show(const remote_options& remote)
{
    return print_answer(call_router(remote, "GET", "/v1/operator/configuration"));
}

int run_config_diff(const remote_options& remote, const std::string& folder)
{
    const std::optional<merged_folder> source = read_valid_folder(folder, remote.json);
    if (!source)
    {
        return exit_settings;
    }
    const result<http_response> response = call_router(remote, "GET", "/v1/operator/configuration");
    fleet_configuration present;
    if (response && response->status == 200)
    {
        const result<fleet_configuration> parsed =
            from_json(std::string_view(response->body).substr(0, response->body.size() - 1));
        if (!parsed)
        {
            std::cerr << "error=" << parsed.error().message() << "\n";
            return exit_failure;
        }
        present = *parsed;
    }
    else if (!response || response->status != 404)
    {
        return report_failure(response);
    }
    for (const configuration_change& change : diff_configurations(present, source->configuration))
    {
        print_change(change, remote.json);
    }
    return exit_success;
}

int run_zone_change(const remote_options& remote, const std::string& zone, bool in_service,
                    const std::string& author)
{
    const result<http_response> response =
        call_router(remote, "PUT", "/v1/operator/zones/" + encode_component(zone),
                    zone_body(in_service, author));
    return print_lines(remote, response,
                       [](const json::object& body)
                       {
                           std::cout << "zone=" << get_text(body, "zone")
                                     << " state=" << get_text(body, "state") << " result=\""
                                     << get_text(body, "result") << "\"\n";
                       });
}

int run_zone_list(const remote_options& remote)
{
    return print_lines(remote, call_router(remote, "GET", "/v1/operator/zones"), print_zones);
}

int run_status(const remote_options& remote)
{
    return print_lines(remote, call_router(remote, "GET", "/v1/operator/status"), print_status);
}

int run_stop(const remote_options& remote)
{
    return print_lines(remote, call_router(remote, "POST", "/v1/operator/stop"),
                       [](const json::object& body)
                       { std::cout << "stop=" << get_text(body, "stop") << "\n"; });
}

int run_timeline(const remote_options& remote, const std::string& request, const std::string& host,
                 const std::string& zone)
{
    const std::string target = "/v1/operator/timeline?request=" + encode_component(request) +
                               "&host=" + encode_component(host) +
                               "&zone=" + encode_component(zone) +
                               (remote.json ? "" : "&format=text");
    return print_answer(call_router(remote, "GET", target));
}

int run_request_list(const remote_options& remote, const std::string& team,
                     const std::string& state)
{
    const std::string target = "/v1/operator/requests?team=" + encode_component(team) +
                               "&state=" + encode_component(state);
    return print_lines(remote, call_router(remote, "GET", target), print_requests);
}

int run_request_show(const remote_options& remote, const std::string& team, const std::string& key)
{
    return print_answer(call_router(remote, "GET", request_target(team, key)));
}

int run_request_settle(const remote_options& remote, const std::string& team,
                       const std::string& key, const std::string& state)
{
    return print_answer(call_router(remote, "POST", request_target(team, key),
                                    json::serialize(json::object{{"state", state}})));
}

} // namespace endivestage::daemon
