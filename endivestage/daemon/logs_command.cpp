#include <endivestage/daemon/commands.hpp>
#include <endivestage/timeline.hpp>

#include <fstream>
#include <iostream>

namespace endivestage::daemon
{

namespace
{

void read_lines(std::istream& input, std::vector<log_record>& lines)
{
    std::string text;
    while (std::getline(input, text))
    {
        std::optional<log_record> record = parse_log_record(text);
        if (record)
        {
            lines.push_back(std::move(*record));
        }
    }
}

bool not_served(const log_record& record)
{
    const std::string_view result = record.field("result");
    return record.event == "request_answered" && result != "served" && result != "caller_left" &&
           result != "not_found" && result != "unauthorized";
}

bool selected(const log_query& query, const log_record& record)
{
    return (query.event.empty() || record.event == query.event) &&
           (query.endpoint.empty() || record.field("endpoint") == query.endpoint) &&
           (query.host.empty() || record.host == query.host) &&
           (!query.failed || not_served(record));
}

} // namespace

int run_logs(const log_query& query)
{
    std::vector<log_record> lines;
    if (query.files.empty())
    {
        read_lines(std::cin, lines);
    }
    for (const std::string& name : query.files)
    {
        std::ifstream file(name);
        if (name != "-" && !file)
        {
            std::cerr << "error=not_found file=" << name << "\n";
            return exit_failure;
        }
        read_lines(name == "-" ? std::cin : file, lines);
    }
    std::vector<merged_record> merged = merge_log_records(std::move(lines));
    if (!query.request.empty())
    {
        merged = explain_request(merged, query.request);
    }
    bool any = false;
    for (const merged_record& placed : merged)
    {
        if (selected(query, placed.record))
        {
            any = true;
            std::cout << render_log_record(placed) << "\n";
        }
    }
    return any ? exit_success : exit_failure;
}

} // namespace endivestage::daemon
