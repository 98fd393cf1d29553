#include <endivestage/daemon/event_stream.hpp>

namespace endivestage::daemon
{

namespace
{

std::string extract_data(std::string_view event)
{
    std::string data;
    while (!event.empty())
    {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.starts_with("data:"))
        {
            line.remove_prefix(5);
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            data += line;
        }
    }
    return data;
}

} // namespace

std::vector<std::string> event_stream_reader::add(std::string_view bytes)
{
    std::vector<std::string> events;
    if (overflowed_)
    {
        return events;
    }
    buf_ += bytes;
    std::size_t begin = 0;
    for (std::size_t end = buf_.find("\n\n"); end != std::string::npos;
         end = buf_.find("\n\n", begin))
    {
        events.push_back(extract_data(std::string_view(buf_).substr(begin, end - begin)));
        begin = end + 2;
    }
    buf_.erase(0, begin);
    overflowed_ = buf_.size() > max_event_bytes;
    return events;
}

std::string format_event_text(std::string_view name, std::uint64_t offset, std::string_view data)
{
    std::string text = "event: ";
    text += name;
    text += "\nid: " + std::to_string(offset) + "\ndata: ";
    text += data;
    text += "\n\n";
    return text;
}

} // namespace endivestage::daemon
