// The router process from its start to its end.

#include "platform_fleet.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

std::string unused_address()
{
    return "\"" + process_address() + ":" + std::to_string(next_port()) + "\"";
}

/// Settings of a router with no table service.
std::string make_settings()
{
    return R"({"router": {"name":"r1","zone":"z","region":"r","host":")" + process_address() +
           R"(","peer_port":)" + std::to_string(next_port()) +
           R"(,"cpu_share":0.25,"first_start":false},
 "listen": {"callers":)" +
           unused_address() + R"(,"readiness":)" + unused_address() + R"(,"directory":)" +
           unused_address() + R"(,"metrics":)" + unused_address() + R"(},
 "platform": {"table_service":)" +
           unused_address() + R"(},
 "bounds": {"revocation_ms":5000,"config_ms":3000,"drain_ms":2500,"repeat_ratio":0.2,"repeat_window_s":10,
  "repeat_allowance":58,"cold_overshoot":1.5,"cold_slack":5,"stop_grace_s":1,"address_lifetime_s":0.5}})";
}

/// A file that is removed at the end of a test.
class temporary_file
{
public:
    explicit temporary_file(const std::string& content)
        : path_(std::filesystem::temp_directory_path() /
                ("run_server_test-" + std::to_string(getpid()) + ".json"))
    {
        std::ofstream(path_) << content;
    }
    ~temporary_file() { std::filesystem::remove(path_); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

/// Runs a router in a process of its own, which gets \p signals before it listens.
/// \returns The status of the ended process.
int run_with_early_signals(const std::string& settings_file, const std::vector<int>& signals)
{
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0)
    {
        for (const int signal : signals)
        {
            std::signal(signal, SIG_DFL); // Replaces the handlers of the test framework.
        }
        const bool silent = std::freopen("/dev/null", "w", stdout) != nullptr;
        const int code = serving::run_server(
            settings_file,
            [&signals](asio::io_context& context, const serving::server_settings& settings)
            {
                for (const int signal : signals)
                {
                    std::raise(signal);
                }
                return platform::make_adapter(context, settings);
            });
        std::_Exit(silent ? code : EXIT_FAILURE);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    return status;
}

} // namespace

// Guards against a reload or a stop that kills a router which has just opened its ports, with the
// connections that the kernel has accepted.
TEST_CASE("signals are handled before the ports are open")
{
    const temporary_file settings(make_settings());
    const int status = run_with_early_signals(settings.path(), {SIGHUP, SIGTERM});
    REQUIRE(WIFEXITED(status));
    REQUIRE(WEXITSTATUS(status) == 0);
}
