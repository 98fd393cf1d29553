#include <endivestage/timeline/log_record.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <map>
#include <set>

namespace endivestage
{

namespace
{

/// State changes that a router logged shortly before, during or shortly after a request may explain
/// its outcome. These are the bounds before its first and after its last line.
constexpr std::int64_t context_before_ms = 5000;
constexpr std::int64_t context_after_ms = 500;

/// Reads a plain or quoted value at \p position and advances \p position past it.
std::string read_value(std::string_view line, std::size_t& position)
{
    std::string value;
    if (position >= line.size() || line[position] != '"')
    {
        const std::size_t end = std::min(line.find(' ', position), line.size());
        value = line.substr(position, end - position);
        position = end;
        return value;
    }
    for (++position; position < line.size() && line[position] != '"'; ++position)
    {
        if (line[position] == '\\' && position + 1 < line.size())
        {
            ++position;
        }
        value.push_back(line[position]);
    }
    ++position;
    return value;
}

/// \returns Unix time in ms of a text such as "2026-12-04T08:00:00.000Z"; 0 when it is malformed.
std::int64_t parse_wall_ms(const std::string& text)
{
    std::tm parts{};
    const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr)
    {
        return 0;
    }
    std::int64_t ms = 0;
    if (*rest == '.')
    {
        std::from_chars(rest + 1, text.data() + text.size(), ms);
    }
    return static_cast<std::int64_t>(timegm(&parts)) * 1000 + ms;
}

std::int64_t parse_number(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Lines of one run of a process, from its start to its end.
struct process_run
{
    std::vector<log_record> lines;
    std::int64_t last_up_ms = -1;
};

/// \returns Median difference between the wall clock and the time since the start of the process.
std::int64_t median_offset(const std::vector<log_record>& lines)
{
    std::vector<std::int64_t> offsets;
    offsets.reserve(lines.size());
    for (const log_record& line : lines)
    {
        offsets.push_back(line.wall_ms - line.up_ms);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

/// \returns Whether a line that belongs to no request may explain one sent to \p endpoints.
bool is_context(const log_record& record, const std::set<std::string, std::less<>>& endpoints)
{
    static const std::set<std::string, std::less<>> context_events{"table_service_lost",
                                                                   "table_service_reached",
                                                                   "source_changed",
                                                                   "configuration_adopted",
                                                                   "configuration_refused",
                                                                   "zone_changed",
                                                                   "stopping",
                                                                   "stopped",
                                                                   "started",
                                                                   "serving",
                                                                   "events_dropped"};
    return context_events.contains(record.event) || endpoints.contains(record.field("endpoint"));
}

} // namespace

std::string_view log_record::field(std::string_view key) const
{
    for (const std::pair<std::string, std::string>& entry : fields)
    {
        if (entry.first == key)
        {
            return entry.second;
        }
    }
    return {};
}

std::optional<log_record> parse_log_record(std::string_view line)
{
    std::size_t position = line.find("time=");
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    log_record record;
    while (position < line.size())
    {
        const std::size_t equals = line.find('=', position);
        if (equals == std::string_view::npos)
        {
            break;
        }
        std::string key(line.substr(position, equals - position));
        position = equals + 1;
        std::string value = read_value(line, position);
        record.fields.emplace_back(std::move(key), std::move(value));
        position = std::min(line.find_first_not_of(' ', position), line.size());
    }
    record.host = record.field("host");
    record.event = record.field("event");
    record.wall_ms = parse_wall_ms(std::string(record.field("time")));
    record.up_ms = parse_number(record.field("up_ms"));
    if (record.event.empty() || record.wall_ms == 0)
    {
        return std::nullopt;
    }
    return record;
}

std::vector<merged_record> merge_log_records(std::vector<log_record> lines)
{
    std::map<std::string, std::vector<process_run>> hosts;
    for (log_record& line : lines)
    {
        std::vector<process_run>& runs = hosts[line.host];
        if (runs.empty() || line.up_ms < runs.back().last_up_ms)
        {
            runs.emplace_back();
        }
        runs.back().last_up_ms = line.up_ms;
        runs.back().lines.push_back(std::move(line));
    }
    std::vector<merged_record> merged;
    for (std::pair<const std::string, std::vector<process_run>>& host : hosts)
    {
        for (process_run& run : host.second)
        {
            const std::int64_t offset = median_offset(run.lines);
            for (log_record& line : run.lines)
            {
                merged.push_back({line.up_ms + offset, std::move(line)});
            }
        }
    }
    std::stable_sort(merged.begin(), merged.end(),
                     [](const merged_record& a, const merged_record& b)
                     { return a.at_ms < b.at_ms; });
    return merged;
}

std::vector<merged_record> explain_request(std::span<const merged_record> merged,
                                           std::string_view request)
{
    std::set<std::string, std::less<>> hosts;
    std::set<std::string, std::less<>> endpoints;
    std::optional<std::int64_t> first;
    std::int64_t last = 0;
    for (const merged_record& entry : merged)
    {
        if (entry.record.field("request") == request)
        {
            hosts.insert(entry.record.host);
            const std::string_view endpoint = entry.record.field("endpoint");
            if (!endpoint.empty())
            {
                endpoints.emplace(endpoint);
            }
            first = first.value_or(entry.at_ms);
            last = entry.at_ms;
        }
    }
    std::vector<merged_record> selected;
    for (const merged_record& entry : merged)
    {
        const bool is_own = entry.record.field("request") == request;
        const bool is_other_request = !is_own && !entry.record.field("request").empty();
        const bool is_near = first && entry.at_ms >= *first - context_before_ms &&
                             entry.at_ms <= last + context_after_ms;
        if (is_own || (is_near && !is_other_request && hosts.contains(entry.record.host) &&
                       is_context(entry.record, endpoints)))
        {
            selected.push_back(entry);
        }
    }
    return selected;
}

std::string render_log_record(const merged_record& entry)
{
    std::string text = "at=" + std::to_string(entry.at_ms) + " host=" + entry.record.host +
                       " event=" + entry.record.event;
    for (const std::pair<std::string, std::string>& field : entry.record.fields)
    {
        const bool is_shown = field.first != "time" && field.first != "up_ms" &&
                              field.first != "host" && field.first != "event" &&
                              field.first != "level";
        if (is_shown)
        {
            text += " " + field.first + "=" + (field.second.empty() ? "\"\"" : field.second);
        }
    }
    return text;
}

} // namespace endivestage
