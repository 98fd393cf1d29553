#include <endivestage/serving/event_framer.hpp>

#include <algorithm>
#include <charconv>

namespace endivestage::serving
{

namespace
{

std::optional<std::uint64_t> find_event_id(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size())
    {
        const std::size_t end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        if (line.starts_with("id:"))
        {
            line.remove_prefix(3);
            while (line.starts_with(' '))
            {
                line.remove_prefix(1);
            }
            std::uint64_t value = 0;
            const std::from_chars_result parsed =
                std::from_chars(line.data(), line.data() + line.size(), value);
            if (parsed.ec == std::errc{})
            {
                return value;
            }
        }
        start = end + 1;
    }
    return std::nullopt;
}

/// \returns The position after the first event; npos when no event is complete.
std::size_t find_event_end(std::string_view bytes)
{
    const std::size_t lf = bytes.find("\n\n");
    const std::size_t crlf = bytes.find("\r\n\r\n");
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
    {
        return std::string_view::npos;
    }
    return lf < crlf ? lf + 2 : crlf + 4;
}

} // namespace

bool event_framer::accept(std::string_view event)
{
    const std::optional<std::uint64_t> id = find_event_id(event);
    if (resumed_ && id && last_event_id_)
    {
        if (*id <= *last_event_id_)
        {
            return false;
        }
        if (*id > *last_event_id_ + 1)
        {
            broken_ = true;
            return false;
        }
    }
    if (id)
    {
        last_event_id_ = id;
    }
    return true;
}

std::string event_framer::add(std::string_view bytes)
{
    buf_.append(bytes);
    std::string complete_events;
    std::size_t start = 0;
    while (!broken_)
    {
        const std::string_view rest = std::string_view(buf_).substr(start);
        const std::size_t length = find_event_end(rest);
        if (length == std::string_view::npos)
        {
            break;
        }
        if (accept(rest.substr(0, length)))
        {
            complete_events.append(rest.substr(0, length));
        }
        start += length;
    }
    buf_.erase(0, start);
    broken_ = broken_ || buf_.size() > max_event_bytes;
    return complete_events;
}

std::string event_framer::take_remainder()
{
    std::string rest;
    rest.swap(buf_);
    return rest;
}

bool event_framer::ends_inside_event() const
{
    bool inside = false;
    std::string_view rest = buf_;
    while (!rest.empty())
    {
        // A line ends with LF, CR or CRLF.
        const std::size_t length = rest.find_first_of("\r\n");
        if (length == std::string_view::npos)
        {
            return true;
        }
        const bool comment = rest.starts_with(':');
        inside = length > 0 && (inside || !comment);
        rest.remove_prefix(length + (rest.substr(length).starts_with("\r\n") ? 2 : 1));
    }
    return inside;
}

void event_framer::restart()
{
    buf_.clear();
    resumed_ = true;
    broken_ = false;
}

} // namespace endivestage::serving
