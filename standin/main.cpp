#include "standin.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace endivestage;
using namespace endivestage::standin;

namespace
{

CLI::Option* add_address(CLI::App& app, const std::string& name, network_address& address)
{
    return app.add_option_function<std::string>(
        name,
        [&address, name](const std::string& text)
        {
            if (!parse_network_address(text, address))
            {
                throw CLI::ValidationError(name, "expected IP:PORT");
            }
        },
        "IP:PORT");
}

void add_millis(CLI::App& app, const std::string& name, millis& duration)
{
    app.add_option(name, duration.count, "milliseconds");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-ins for the platform and the endpoints");
    app.require_subcommand(1);
    int exit_code = 0;

    platform_options platform;
    CLI::App* platform_command = app.add_subcommand("platform", "table, objects, hosts, weights");
    add_address(*platform_command, "--listen", platform.listen)->required();
    add_millis(*platform_command, "--host-list-lag", platform.host_list_delay);
    platform_command->callback([&] { exit_code = run_platform(platform); });

    engine_options engine;
    CLI::App* engine_command = app.add_subcommand("engine", "model engine");
    add_address(*engine_command, "--listen", engine.listen)->required();
    engine_command->add_option("--id", engine.id)->required();
    engine_command->add_option("--slots", engine.slots);
    engine_command->add_option("--cache-tokens", engine.cache_tokens);
    engine_command->add_option("--cold-limit", engine.max_cold_load);
    engine_command->add_option("--cold-requests", engine.warmup_requests);
    engine_command->add_option("--fencing", engine.fencing);
    add_millis(*engine_command, "--token-time", engine.token_interval);
    add_millis(*engine_command, "--load-lag", engine.load_report_delay);
    engine_command->callback([&] { exit_code = run_engine(engine); });

    service_options service;
    CLI::App* service_command = app.add_subcommand("service", "plain service");
    add_address(*service_command, "--listen", service.listen)->required();
    service_command->add_option("--id", service.id)->required();
    add_millis(*service_command, "--service-time", service.service_time);
    service_command->callback([&] { exit_code = run_service(service); });

    proxy_options proxy;
    CLI::App* proxy_command =
        app.add_subcommand("proxy", "TCP proxy that closes or silences connections");
    add_address(*proxy_command, "--listen", proxy.listen)->required();
    add_address(*proxy_command, "--target", proxy.target)->required();
    add_address(*proxy_command, "--control", proxy.control)->required();
    proxy_command->callback([&] { exit_code = run_proxy(proxy); });

    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error)
    {
        return app.exit(error);
    }
    catch (const std::exception& error)
    {
        std::cerr << "event=failed reason=\"" << error.what() << "\"\n";
        return 1;
    }
    return exit_code;
}
