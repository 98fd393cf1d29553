#include <endivestage/daemon/commands.hpp>
#include <endivestage/serving/server.hpp>

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <platform/adapter.hpp>

namespace endivestage::daemon
{

namespace
{

constexpr const char* version_text = "0.1.0";

/// Values that the options of all commands are stored in.
struct command_values
{
    remote_options remote;
    load_options load;
    log_query logs;
    std::string settings_file;
    std::string folder;
    std::string author = "operator";
    std::string zone;
    std::string request;
    std::string host;
    std::string team;
    std::string key;
    std::string state;
    std::int64_t base = -1;
    bool check_only = false;
};

using command = std::function<int()>;

CLI::App* add_command(CLI::App& parent, const std::string& name, const std::string& description,
                      int& code, command run)
{
    CLI::App* added = parent.add_subcommand(name, description);
    added->callback([&code, run = std::move(run)] { code = run(); });
    return added;
}

void add_remote(CLI::App& app, command_values& values)
{
    app.add_option("--router", values.remote.router, "IP:PORT of any router")->required();
    app.add_option("--token-file", values.remote.token_file,
                   "File with an operator token; default: ENDIVESTAGE_TOKEN");
    app.add_flag("--json", values.remote.json, "Print JSON");
}

void add_config_commands(CLI::App& app, command_values& values, int& code)
{
    CLI::App* config =
        app.add_subcommand("config", "Check, apply, show and compare configurations");
    config->require_subcommand(1);
    CLI::App* check =
        add_command(*config, "check", "Merge and validate a folder", code,
                    [&values] { return run_config_check(values.folder, values.remote.json); });
    check->add_option("folder", values.folder, "Folder of .json files")->required();
    check->add_flag("--json", values.remote.json, "Print faults as JSON lines");
    CLI::App* apply = add_command(
        *config, "apply", "Commit a folder as the next version", code,
        [&values]
        { return run_config_apply(values.remote, values.folder, values.author, values.base); });
    apply->add_option("folder", values.folder, "Folder of .json files")->required();
    apply->add_option("--author", values.author, "Recorded with the version");
    apply->add_option("--base", values.base, "Fail unless this version is in force");
    add_remote(*apply, values);
    CLI::App* show = add_command(*config, "show", "Print the configuration in force", code,
                                 [&values] { return run_config_show(values.remote); });
    add_remote(*show, values);
    CLI::App* diff =
        add_command(*config, "diff", "Print what a folder would change", code,
                    [&values] { return run_config_diff(values.remote, values.folder); });
    diff->add_option("folder", values.folder, "Folder of .json files")->required();
    add_remote(*diff, values);
}

void add_zone_commands(CLI::App& app, command_values& values, int& code)
{
    CLI::App* zone = app.add_subcommand("zone", "Take availability zones out of and into service");
    zone->require_subcommand(1);
    const auto add_change = [&](const char* name, const char* description, bool in_service)
    {
        CLI::App* change = add_command(
            *zone, name, description, code,
            [&values, in_service]
            { return run_zone_change(values.remote, values.zone, in_service, values.author); });
        change->add_option("zone", values.zone, "Id of the zone")->required();
        change->add_option("--author", values.author, "Recorded with the change");
        add_remote(*change, values);
    };
    add_change("take-out", "No new work for endpoints of the zone", false);
    add_change("bring-in", "Endpoints of the zone get work again", true);
    CLI::App* list = add_command(*zone, "list", "Print the state of all zones", code,
                                 [&values] { return run_zone_list(values.remote); });
    add_remote(*list, values);
}

void add_request_commands(CLI::App& app, command_values& values, int& code)
{
    CLI::App* request = app.add_subcommand("request", "Non-idempotent requests by their keys");
    request->require_subcommand(1);
    CLI::App* list = add_command(
        *request, "list", "List requests", code,
        [&values] { return run_request_list(values.remote, values.team, values.state); });
    list->add_option("--team", values.team, "Only this team");
    list->add_option("--state", values.state, "reserved, sending, done, unknown or not_run")
        ->check(CLI::IsMember({"reserved", "sending", "done", "unknown", "not_run"}));
    add_remote(*list, values);
    CLI::App* show =
        add_command(*request, "show", "Print what became of a request", code,
                    [&values] { return run_request_show(values.remote, values.team, values.key); });
    show->add_option("team", values.team, "Team of the caller")->required();
    show->add_option("key", values.key, "Idempotency key")->required();
    add_remote(*show, values);
    CLI::App* settle = add_command(
        *request, "settle", "State the outcome of an unknown request", code,
        [&values]
        { return run_request_settle(values.remote, values.team, values.key, values.state); });
    settle->add_option("team", values.team, "Team of the caller")->required();
    settle->add_option("key", values.key, "Idempotency key")->required();
    settle->add_option("--as", values.state, "done or not_run")
        ->required()
        ->check(CLI::IsMember({"done", "not_run"}));
    add_remote(*settle, values);
}

void add_load_command(CLI::App& app, load_options& load, int& code)
{
    CLI::App* added = add_command(app, "load", "Generate chat traffic and print percentiles", code,
                                  [&load] { return run_load(load); });
    added->add_option("--router", load.routers, "IP:PORT of routers to ask for addresses")
        ->required();
    added->add_option("--zone", load.zone, "Zone of the caller");
    added->add_option("--team", load.team, "Team of the caller")->required();
    added->add_option("--pool", load.pool, "Engine pool")->required();
    added->add_option("--rate", load.rate, "Requests per second")->check(CLI::PositiveNumber);
    added->add_option("--seconds", load.seconds, "Duration")->check(CLI::PositiveNumber);
    added->add_option("--chats", load.chats, "Number of chats")->check(CLI::PositiveNumber);
    added->add_option("--max-tokens", load.max_tokens, "Tokens per answer");
    added->add_option("--history-bytes", load.history_bytes, "Bytes of history of a chat");
    added->add_option("--seed", load.seed, "Seed of arrivals and chats");
    added->add_flag("--json", load.json, "Print one JSON object");
}

} // namespace

int run_command_line(int argc, char** argv)
{
    CLI::App app("Router fleet for returning chats");
    app.require_subcommand(1);
    command_values values;
    int code = exit_success;
    CLI::App* router =
        add_command(app, "router", "Run a router", code,
                    [&values] { return run_router(values.settings_file, values.check_only); });
    router->add_option("--settings", values.settings_file, "JSON settings file")->required();
    router->add_flag("--check", values.check_only, "Check the settings and exit");
    CLI::App* serve = add_command(
        app, "serve", "Run a router on the users' platform", code,
        [&values] { return serving::run_server(values.settings_file, platform::make_adapter); });
    serve
        ->add_option("--settings", values.settings_file,
                     "JSON settings file; default: the one that the platform names")
        ->default_val(platform::settings_file());
    CLI::App* logs = add_command(app, "logs", "Merge logs of several routers", code,
                                 [&values] { return run_logs(values.logs); });
    logs->add_option("files", values.logs.files, "Log files; - or none: standard input");
    logs->add_option("--request", values.logs.request, "What explains this request");
    logs->add_option("--event", values.logs.event, "Only this kind of event");
    logs->add_option("--endpoint", values.logs.endpoint, "Only lines that name this endpoint");
    logs->add_option("--on", values.logs.host, "Only lines of this router");
    logs->add_flag("--failed", values.logs.failed, "Only requests that were not served");
    add_config_commands(app, values, code);
    add_zone_commands(app, values, code);
    add_request_commands(app, values, code);
    add_remote(*add_command(app, "status", "Print the state of a router", code,
                            [&values] { return run_status(values.remote); }),
               values);
    add_remote(*add_command(app, "stop", "Begin the planned stop of a router", code,
                            [&values] { return run_stop(values.remote); }),
               values);
    CLI::App* timeline = add_command(
        app, "timeline", "Print events of all routers", code,
        [&values]
        { return run_timeline(values.remote, values.request, values.host, values.zone); });
    timeline->add_option("--request", values.request, "Only events of this request");
    timeline->add_option("--host", values.host, "Only events of this router or endpoint");
    timeline->add_option("--zone", values.zone, "Only events of this zone");
    add_remote(*timeline, values);
    add_load_command(app, values.load, code);
    CLI::App* rollouts =
        add_command(app, "rollouts", "Print state and reason of each roll-out", code,
                    [&values] { return run_rollouts(values.remote.router, values.remote.json); });
    rollouts->add_option("--router", values.remote.router, "IP:PORT of a router's peer port")
        ->required();
    rollouts->add_flag("--json", values.remote.json, "Print JSON");
    add_command(app, "version", "Print the version", code,
                []
                {
                    std::cout << "endivestage " << version_text << "\n";
                    return static_cast<int>(exit_success);
                });
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error)
    {
        const int status = app.exit(error);
        // A mistyped command is otherwise reported only as a missing one.
        for (const std::string& argument : app.remaining(true))
        {
            std::cerr << "Not understood: " << argument << "\n";
        }
        return status == 0 ? exit_success : exit_usage;
    }
    return code;
}

} // namespace endivestage::daemon
