#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/commands.hpp>
#include <endivestage/daemon/logging.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <optional>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::log_event;
using daemon::log_level;

namespace
{

/// The file is polled, since a platform may replace it without sending a signal.
constexpr std::chrono::milliseconds file_check_interval{1000};
/// Blocks of this size or larger are returned to the operating system when they are freed.
constexpr int large_block_bytes = 65536;

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
    {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

void log_faults(const std::vector<settings_fault>& faults)
{
    for (const settings_fault& fault : faults)
    {
        log_event(log_level::error, "settings_fault",
                  {{"key", fault.key}, {"reason", fault.reason}, make_error_code(fault.code)});
    }
}

/// Reloads the settings file when it changes. Invalid settings are logged and ignored.
class settings_watcher
{
public:
    settings_watcher(asio::io_context& context, std::string name, std::string content,
                     server& router)
        : timer_(context),
          name_(std::move(name)),
          content_(std::move(content)),
          router_(router)
    {
    }

    void start()
    {
        timer_.expires_after(file_check_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& ec)
            {
                if (!ec)
                {
                    check();
                    start();
                }
            });
    }

    void check()
    {
        const std::optional<std::string> content = read_file(name_);
        if (!content || *content == content_)
        {
            return;
        }
        content_ = *content;
        const settings_outcome outcome = parse_server_settings(content_);
        if (!outcome.faults.empty())
        {
            log_faults(outcome.faults);
            log_event(log_level::error, "settings_kept");
            return;
        }
        router_.reload(outcome.settings);
    }

private:
    asio::steady_timer timer_;
    std::string name_;
    std::string content_;
    server& router_;
};

void handle_reload_signals(asio::signal_set& signals, settings_watcher& watcher)
{
    signals.async_wait(
        [&signals, &watcher](const boost::system::error_code& ec, int)
        {
            if (!ec)
            {
                watcher.check();
                handle_reload_signals(signals, watcher);
            }
        });
}

} // namespace

int run_server(
    const std::string& settings_file,
    const std::function<platform_adapter(asio::io_context&, const server_settings&)>& make_adapter)
{
    daemon::log_options options;
    const std::optional<std::string> content = read_file(settings_file);
    if (!content)
    {
        daemon::start_logging(options);
        log_event(log_level::error, "settings_missing", {{"file", settings_file}});
        return daemon::exit_settings;
    }
    const settings_outcome outcome = parse_server_settings(*content);
    options.bounded = true;
    options.host = outcome.settings.name.str();
    options.zone = outcome.settings.zone.str();
    daemon::start_logging(options);
    if (!outcome.faults.empty())
    {
        log_faults(outcome.faults);
        return daemon::exit_settings;
    }
    // Writing to a closed connection is reported as an error of the write.
    std::signal(SIGPIPE, SIG_IGN);
    // Otherwise glibc raises the limit with the first large body that is freed; later ones then
    // share the heap with small blocks, and their memory is not returned.
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    asio::io_context context(1);
    // By default these signals kill the process, with connections that were accepted meanwhile.
    // They are queued from here on and handled once the router has started.
    asio::signal_set reload_signals(context, SIGHUP);
    asio::signal_set stop_signals(context, SIGTERM, SIGINT);
    server router(context, outcome.settings, make_adapter(context, outcome.settings));
    const std::error_code ec = router.start();
    if (ec)
    {
        log_event(log_level::error, "listen_failed", {ec});
        return daemon::exit_address_in_use;
    }
    log_event(log_level::info, "started", {{"callers", to_string(outcome.settings.callers)}});
    settings_watcher watcher(context, settings_file, *content, router);
    watcher.start();
    handle_reload_signals(reload_signals, watcher);
    stop_signals.async_wait(
        [&router](const boost::system::error_code& failed, int)
        {
            if (!failed)
            {
                router.stop();
            }
        });
    context.run();
    daemon::stop_logging();
    // Suspended coroutines refer to both the router and the context's sockets, so neither of the
    // two can be destroyed first. Nothing is left to be written, so the process exits without
    // destroying them.
    std::_Exit(daemon::exit_success);
}

} // namespace endivestage::serving
