/// \file
/// \brief Subcommands of the binary. Each returns the exit code of the process.
#pragma once

#include <endivestage/daemon/network_address.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endivestage::daemon
{

/// \brief Exit codes; documented in docs/operators.md.
enum exit_code : int
{
    exit_success = 0,
    exit_failure = 1,         ///< The call was refused or failed; the error names the reason.
    exit_usage = 2,           ///< Wrong command line.
    exit_settings = 3,        ///< Settings or configuration files have faults.
    exit_address_in_use = 4,  ///< A socket could not be opened.
    exit_unreachable = 5,     ///< The router did not answer.
    exit_conflict = 6,        ///< Another operator's change is in the way.
    exit_outcome_unknown = 7, ///< It cannot be told whether the change took effect.
};

/// \brief How commands reach a router.
struct remote_options
{
    std::string router;     ///< "IP:PORT" of any router.
    std::string token_file; ///< File with an operator token; empty: ENDIVESTAGE_TOKEN is used.
    bool json = false;      ///< Print the answer as JSON.
};

/// \brief Runs a router until it is stopped.
int run_router(const std::string& settings_file, bool check_only);

/// \brief Merges and validates a folder of configuration files.
int run_config_check(const std::string& folder, bool json);

/// \brief Commits the folder as the next configuration version.
int run_config_apply(const remote_options& remote, const std::string& folder,
                     const std::string& author, std::int64_t base);

/// \brief Prints the configuration in force.
int run_config_show(const remote_options& remote);

/// \brief Prints what the folder would change.
int run_config_diff(const remote_options& remote, const std::string& folder);

/// \brief Takes a zone out of service or brings it back.
int run_zone_change(const remote_options& remote, const std::string& zone, bool in_service,
                    const std::string& author);

/// \brief Lists the zones.
int run_zone_list(const remote_options& remote);

/// \brief Prints the state of a router.
int run_status(const remote_options& remote);

/// \brief Begins the planned stop of a router.
int run_stop(const remote_options& remote);

/// \brief Prints the events of all routers in causal order.
int run_timeline(const remote_options& remote, const std::string& request, const std::string& host,
                 const std::string& zone);

/// \brief Lists non-idempotent requests.
int run_request_list(const remote_options& remote, const std::string& team,
                     const std::string& state);

/// \brief Prints what became of one request.
int run_request_show(const remote_options& remote, const std::string& team, const std::string& key);

/// \brief States what became of a request whose outcome is unknown.
int run_request_settle(const remote_options& remote, const std::string& team,
                       const std::string& key, const std::string& state);

/// \brief What `endivestage load` sends.
struct load_options
{
    std::vector<std::string> routers; ///< Addresses to ask first.
    std::string zone;
    std::string team;
    std::string pool;
    double rate = 10.0; ///< Requests started per second, whether or not others have ended.
    double seconds = 10.0;
    std::uint32_t chats = 50; ///< Chats that requests are drawn from.
    std::uint32_t max_tokens = 32;
    std::uint32_t history_bytes = 2000;
    std::uint64_t seed = 1;
    bool json = false;
};

/// \brief Generates chat traffic and prints latency percentiles.
/// \returns exit_failure when a request got no complete answer.
int run_load(const load_options& options);

/// \brief What `endivestage logs` reads and selects; empty members select all.
struct log_query
{
    std::vector<std::string> files; ///< "-" or none: standard input.
    std::string request;            ///< Lines that explain this request.
    std::string event;
    std::string endpoint;
    std::string host;
    bool failed = false; ///< Ends of requests that were not served.
};

/// \brief Merges log files of several routers and prints the selected lines in causal order.
/// \returns exit_failure when a file cannot be read or nothing was selected.
int run_logs(const log_query& query);

/// \brief Prints the state of all roll-outs as a router sees them.
/// \param router "IP:PORT" of a router's peer port.
int run_rollouts(const std::string& router, bool as_json);

/// \brief Parses the command line and runs the command.
int run_command_line(int argc, char** argv);

} // namespace endivestage::daemon
