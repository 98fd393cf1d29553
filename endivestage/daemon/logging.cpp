#include <endivestage/daemon/internal/bounded_appender.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/timeline/event_rate_limiter.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <fstream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <mutex>
#include <optional>
#include <sstream>
#include <unistd.h>
#include <vector>

namespace endivestage::daemon
{

namespace
{

/// \brief The open log. Shared by all threads of the process, hence the only global state.
struct log_state
{
    std::mutex mutex;
    std::optional<log4cplus::Initializer> library;
    std::optional<log4cplus::Logger> logger;
    log_options options;
    bounded_appender* bounded = nullptr; ///< Owned by the logger; null when not bounded.
    std::optional<event_rate_limiter> limit;
    std::uint64_t reported = 0; ///< Lines dropped by the appender and reported so far.
    std::int64_t started = 0;   ///< Steady clock, in milliseconds.
};

log_state& global()
{
    static log_state instance;
    return instance;
}

std::string_view to_string(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

log4cplus::LogLevel to_log4cplus(log_level level)
{
    constexpr std::array<log4cplus::LogLevel, 4> levels{
        log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
        log4cplus::ERROR_LOG_LEVEL};
    return levels[static_cast<std::size_t>(level)];
}

bool valid_key(std::string_view key)
{
    return !key.empty() &&
           std::all_of(key.begin(), key.end(),
                       [](char c)
                       { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'; });
}

/// \brief Appends a value; in quotes if a reader could not tell where it ends.
void append_value(std::string& line, std::string_view value)
{
    const bool plain =
        !value.empty() &&
        std::all_of(value.begin(), value.end(),
                    [](char c) { return c > ' ' && c < 127 && c != '"' && c != '=' && c != '\\'; });
    if (plain)
    {
        line.append(value);
        return;
    }
    constexpr std::string_view digits = "0123456789abcdef";
    line.push_back('"');
    for (char c : value)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            line.append({'\\', c});
        }
        else if (c == '\n')
        {
            line.append("\\n");
        }
        else if (byte < 32 || byte == 127)
        {
            line.append({'\\', 'x', digits[byte >> 4U], digits[byte & 15U]});
        }
        else
        {
            line.push_back(c);
        }
    }
    line.push_back('"');
}

void append_field(std::string& line, std::string_view key, std::string_view value)
{
    if (!line.empty())
    {
        line.push_back(' ');
    }
    line.append(key);
    line.push_back('=');
    append_value(line, value);
}

std::string iso_time(time_point wall)
{
    std::int64_t ms = wall.since_epoch % 1000;
    ms += ms < 0 ? 1000 : 0;
    const std::time_t seconds = static_cast<std::time_t>((wall.since_epoch - ms) / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + ms).substr(1);
    return std::string(text.data(), size) + "." + fraction + "Z";
}

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string to_text(double number)
{
    std::ostringstream text;
    text.imbue(std::locale::classic());
    text << number;
    return text.str();
}

} // namespace

log_field::log_field(std::string_view name, std::string_view text) : key(name), value(text)
{
    assert(valid_key(name) && name != "error");
}

log_field::log_field(std::string_view name, bool value)
    : log_field(name, std::string_view(value ? "true" : "false"))
{
}

log_field::log_field(std::string_view name, double number) : log_field(name, to_text(number)) {}

log_field::log_field(std::string_view name, millis time) : log_field(name, time.count) {}

log_field::log_field(std::error_code ec)
    : key("error"),
      value(std::string(ec.category().name()) + ":" + ec.message())
{
}

std::string format_event(time_point wall, const log_options& options, log_level level,
                         std::string_view event, std::span<const log_field> fields)
{
    std::string line;
    append_field(line, "time", iso_time(wall));
    append_field(line, "level", to_string(level));
    append_field(line, "event", event);
    append_field(line, "host", options.host);
    append_field(line, "zone", options.zone);
    for (const log_field& field : fields)
    {
        append_field(line, field.key, field.value);
    }
    return line;
}

namespace
{

void write_line(log_state& state, log_level level, std::string_view event,
                std::span<const log_field> fields)
{
    const std::int64_t wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count();
    std::string line = format_event({wall}, state.options, level, event, fields);
    if (state.bounded != nullptr)
    {
        // Readers order lines by this when the host's clock was set.
        append_field(line, "up_ms", std::to_string(steady_ms() - state.started));
    }
    state.logger->forcedLog(to_log4cplus(level), line);
}

} // namespace

std::error_code start_logging(const log_options& options)
{
    if (!options.file.empty())
    {
        // log4cplus reports a file that it cannot open on stderr only.
        errno = 0;
        const std::ofstream probe(options.file, std::ios::app);
        if (!probe)
        {
            return {errno == 0 ? EIO : errno, std::generic_category()};
        }
    }
    stop_logging();
    log_state& state = global();
    const std::lock_guard lock(state.mutex);
    if (!state.library)
    {
        // Kept until the process ends: log4cplus is not made to be started twice.
        state.library.emplace();
    }
    log4cplus::SharedAppenderPtr appender;
    state.bounded = nullptr;
    state.limit.reset();
    state.reported = 0;
    state.started = steady_ms();
    if (options.bounded)
    {
        state.bounded = new bounded_appender(STDOUT_FILENO, options.most_queued);
        appender = state.bounded;
        state.limit.emplace(options.lines_per_s, options.lines_per_s * 2.0);
    }
    else if (options.file.empty())
    {
        appender = new log4cplus::ConsoleAppender(true, true);
    }
    else
    {
        appender = new log4cplus::FileAppender(options.file, std::ios::app);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger logger = log4cplus::Logger::getRoot();
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setLogLevel(to_log4cplus(options.lowest));
    state.logger = logger;
    state.options = options;
    return {};
}

void stop_logging()
{
    log_state& state = global();
    const std::lock_guard lock(state.mutex);
    if (state.logger)
    {
        if (state.bounded != nullptr)
        {
            state.bounded->flush();
            state.bounded = nullptr;
        }
        state.logger->removeAllAppenders();
        state.logger.reset();
    }
}

void log_event(log_level level, std::string_view event, std::span<const log_field> fields)
{
    assert(valid_key(event));
    log_state& state = global();
    const std::lock_guard lock(state.mutex);
    if (!state.logger || level < state.options.lowest)
    {
        return;
    }
    if (!state.limit || state.limit->admit(event, {steady_ms()}))
    {
        write_line(state, level, event, fields);
    }
}

void flush_log()
{
    log_state& state = global();
    const std::lock_guard lock(state.mutex);
    if (state.bounded == nullptr)
    {
        return;
    }
    for (const std::pair<std::string, std::uint64_t>& kind : state.limit->take_dropped())
    {
        write_line(state, log_level::warning, "events_dropped",
                   std::vector<log_field>{
                       {"kind", kind.first}, {"count", kind.second}, {"reason", "rate"}});
    }
    const std::uint64_t dropped = state.bounded->dropped();
    if (dropped > state.reported)
    {
        const std::uint64_t count = dropped - state.reported;
        state.reported = dropped;
        write_line(state, log_level::warning, "events_dropped",
                   std::vector<log_field>{{"kind", "all"}, {"count", count}, {"reason", "reader"}});
    }
    state.bounded->flush();
}

} // namespace endivestage::daemon
