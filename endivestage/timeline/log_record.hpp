/// \file
/// \brief Log lines of several processes, read back and merged.
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

/// \brief One line of key=value pairs as a router logs it.
struct log_record
{
    std::int64_t wall_ms = 0; ///< Unix time; steps when the host's clock is set.
    std::int64_t up_ms = 0;   ///< Since the start of the process; never steps.
    std::string host;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< All pairs, in order.

    /// \returns The value of a field; empty when absent.
    std::string_view field(std::string_view key) const;
};

/// \brief Reads a line. Text before the first "time=" is skipped, so that lines that another
/// program prefixed can be read as they are.
/// \returns The record; nothing when the line is not one.
std::optional<log_record> parse_log_record(std::string_view line);

/// \brief A record with its place in the merged order.
struct merged_record
{
    std::int64_t at_ms = 0; ///< Unix time without the steps of the host's clock.
    log_record record;
};

/// \brief Merges the lines of several processes.
///
/// The lines of one run of a process keep their order. Its time is the time since its start plus
/// the median difference to the wall clock, so that steps of the clock do not move causes behind
/// their effects.
/// \param lines In the order in which each process wrote them; processes may be mixed.
std::vector<merged_record> merge_log_records(std::vector<log_record> lines);

/// \brief Selects records that explain one request.
///
/// These are the request's own lines and, from shortly before its first line on, what the routers
/// that handled it came to believe about the endpoints that it was sent to, about the table service
/// and about the configuration.
std::vector<merged_record> explain_request(std::span<const merged_record> merged,
                                           std::string_view request);

/// \returns `at=<Unix ms> host=... event=...` and the other fields but the times.
std::string render_log_record(const merged_record& placed);

} // namespace endivestage
