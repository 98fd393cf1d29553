/// \file
/// \brief Log of events, one key=value line each, written by log4cplus.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>

#include <concepts>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace endivestage::daemon
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// \brief Where the log goes and what stands in each line.
struct log_options
{
    std::string file; ///< Appended to; empty for stderr, or stdout when bounded.
    std::string host;
    std::string zone;
    log_level lowest = log_level::info; ///< Events below it are dropped.
    /// Write to stdout without ever waiting for its reader, with a limit for each kind of event.
    bool bounded = false;
    double lines_per_s = 100.0;     ///< Of one kind of event, when bounded; twice as many at once.
    std::size_t most_queued = 2000; ///< Lines kept for a slow reader, when bounded.
};

/// \brief A key and its value in a line.
struct log_field
{
    /// \param name Of [a-z0-9_]. Must not be "error": errors are given as std::error_code.
    log_field(std::string_view name, std::string_view text);
    log_field(std::string_view name, const char* text) : log_field(name, std::string_view(text)) {}
    log_field(std::string_view name, const std::string& text)
        : log_field(name, std::string_view(text))
    {
    }
    template <class Tag>
    log_field(std::string_view name, const id<Tag>& value) : log_field(name, value.view())
    {
    }
    template <std::integral T>
    log_field(std::string_view name, T number) : log_field(name, std::to_string(number))
    {
    }
    log_field(std::string_view name, bool value);
    log_field(std::string_view name, double number);
    /// \param name Should end in "_ms".
    log_field(std::string_view name, millis time);
    /// \brief An error: the field is named "error" and holds "category:name".
    explicit(false) log_field(std::error_code ec);

    std::string_view key;
    std::string value;
};

/// \brief Opens the log; replaces an earlier set-up.
/// \returns The system's error if the file cannot be opened for appending.
std::error_code start_logging(const log_options& options);

/// \brief Writes queued lines as far as the reader takes them, and one line for each kind of event
/// of which lines were dropped. Call about every 250 ms when bounded.
void flush_log();

/// \brief Flushes and closes the log. Events after it are dropped.
void stop_logging();

/// \brief Writes one line. Thread-safe; dropped before start_logging.
/// \param event Snake_case name of what happened.
void log_event(log_level level, std::string_view event, std::span<const log_field> fields);
/// \copydoc log_event
inline void log_event(log_level level, std::string_view event,
                      std::initializer_list<log_field> fields = {})
{
    log_event(level, event, std::span<const log_field>(fields.begin(), fields.size()));
}

/// \returns The line that log_event writes, without a line end.
/// \param wall Milliseconds since the Unix epoch.
std::string format_event(time_point wall, const log_options& options, log_level level,
                         std::string_view event, std::span<const log_field> fields);
/// \copydoc format_event
inline std::string format_event(time_point wall, const log_options& options, log_level level,
                                std::string_view event, std::initializer_list<log_field> fields)
{
    return format_event(wall, options, level, event,
                        std::span<const log_field>(fields.begin(), fields.size()));
}

} // namespace endivestage::daemon
