/// \file
/// \brief Parses the log lines of several processes and merges them.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivestage
{

/// \brief One log line, which consists of key=value pairs.
struct log_record
{
    std::int64_t wall_ms = 0; ///< Unix time; jumps when the host's clock is set.
    std::int64_t up_ms = 0;   ///< Time since the start of the process; monotonic.
    std::string host;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< All pairs, in order.

    /// \returns The value of the first field with this key; empty when absent.
    std::string_view field(std::string_view key) const;
};

/// \brief Parses a log line. Text before the first "time=" is skipped, so that another program may
/// have prefixed the line.
/// \returns The record; nothing when the line is not a log record.
std::optional<log_record> parse_log_record(std::string_view line);

/// \brief A record with the time by which merged records are ordered.
struct merged_record
{
    std::int64_t at_ms = 0; ///< Unix time, corrected for jumps of the host's clock.
    log_record record;
};

/// \brief Merges the lines of several processes.
///
/// The lines of one run of a process keep their order. The time of a line is its time since the
/// start of the process plus the median, over all lines of the run, of the difference between the
/// wall clock and the time since the start. Jumps of the clock thus do not move causes behind their
/// effects.
/// \param lines In the order in which each process wrote them; processes may be interleaved.
/// \returns The records in the order of their times.
std::vector<merged_record> merge_log_records(std::vector<log_record> lines);

/// \brief Selects records that explain one request.
///
/// These are the request's own lines and, from shortly before the first to shortly after the last
/// of them, the lines in which the routers that handled it report changes of the endpoints that it
/// was sent to, of the table service, of the configuration, of zones and of the routers themselves.
std::vector<merged_record> explain_request(std::span<const merged_record> merged,
                                           std::string_view request);

/// \returns `at=<Unix ms> host=... event=...` and the other fields except the times and the level.
std::string render_log_record(const merged_record& entry);

} // namespace endivestage
