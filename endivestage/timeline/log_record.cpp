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

/// What a router came to believe up to this long before a request may explain its end.
constexpr std::int64_t context_before_ms = 5000;
constexpr std::int64_t context_after_ms = 500;

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

/// Reads "2026-12-04T08:00:00.000Z".
std::int64_t parse_wall(const std::string& text)
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

/// Lines that one run of a process wrote.
struct process_run
{
    std::vector<log_record> lines;
    std::int64_t last_up = -1;
};

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

bool is_context(const log_record& record, const std::set<std::string, std::less<>>& endpoints)
{
    static const std::set<std::string, std::less<>> about_router{"table_service_lost",
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
    return about_router.contains(record.event) || endpoints.contains(record.field("endpoint"));
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
    record.wall_ms = parse_wall(std::string(record.field("time")));
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
        if (runs.empty() || line.up_ms < runs.back().last_up)
        {
            runs.emplace_back();
        }
        runs.back().last_up = line.up_ms;
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
    for (const merged_record& placed : merged)
    {
        if (placed.record.field("request") == request)
        {
            hosts.insert(placed.record.host);
            const std::string_view endpoint = placed.record.field("endpoint");
            if (!endpoint.empty())
            {
                endpoints.emplace(endpoint);
            }
            first = first.value_or(placed.at_ms);
            last = placed.at_ms;
        }
    }
    std::vector<merged_record> selected;
    for (const merged_record& placed : merged)
    {
        const bool own = placed.record.field("request") == request;
        const bool other_request = !own && !placed.record.field("request").empty();
        const bool near = first && placed.at_ms >= *first - context_before_ms &&
                          placed.at_ms <= last + context_after_ms;
        if (own || (near && !other_request && hosts.contains(placed.record.host) &&
                    is_context(placed.record, endpoints)))
        {
            selected.push_back(placed);
        }
    }
    return selected;
}

std::string render_log_record(const merged_record& placed)
{
    std::string text = "at=" + std::to_string(placed.at_ms) + " host=" + placed.record.host +
                       " event=" + placed.record.event;
    for (const std::pair<std::string, std::string>& field : placed.record.fields)
    {
        const bool shown = field.first != "time" && field.first != "up_ms" &&
                           field.first != "host" && field.first != "event" &&
                           field.first != "level";
        if (shown)
        {
            text += " " + field.first + "=" + (field.second.empty() ? "\"\"" : field.second);
        }
    }
    return text;
}

} // namespace endivestage
