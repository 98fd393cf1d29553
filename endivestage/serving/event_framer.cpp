#include <endivestage/serving/event_framer.hpp>

#include <algorithm>
#include <charconv>

namespace endivestage::serving
{

namespace
{

/// What the lines up to a blank line hold.
struct event_content
{
    std::optional<std::uint64_t> id;
    bool malformed = false; ///< A line is neither a field nor a comment.
    bool has_field = false; ///< A field that the format of event streams defines.
    bool has_data = false;  ///< Also an event type: a field that makes it an event.
    bool empty = true;      ///< Comments and blank lines only.
};

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
}

std::optional<std::uint64_t> parse_id(std::string_view value)
{
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::uint64_t id = 0;
    const std::from_chars_result parsed =
        std::from_chars(value.data(), value.data() + value.size(), id);
    return parsed.ec == std::errc{} ? std::optional<std::uint64_t>(id) : std::nullopt;
}

void read_line(std::string_view line, event_content& content)
{
    if (line.empty() || line.starts_with(':'))
    {
        return;
    }
    content.empty = false;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    if (name == "data" || name == "event")
    {
        content.has_data = true;
    }
    else if (name == "id")
    {
        content.id =
            content.id ? content.id : parse_id(line.substr(std::min(colon + 1, line.size())));
    }
    else if (name != "retry")
    {
        content.malformed =
            content.malformed || !std::all_of(name.begin(), name.end(), is_name_character);
        return;
    }
    content.has_field = true;
}

event_content read_event(std::string_view event)
{
    event_content content;
    while (!event.empty())
    {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        read_line(line, content);
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return content;
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
    const event_content content = read_event(event);
    const std::optional<std::uint64_t> id = content.id;
    // Also an event without an id of an engine that goes on with a stream: the caller may have it.
    if (content.malformed || (!content.empty && !content.has_field) ||
        (resumes_ && content.has_data && !id))
    {
        broken_ = true;
        return false;
    }
    if (id && last_event_id_ && *id <= *last_event_id_)
    {
        repeated_id_ = id;
        return false;
    }
    if (id && may_repeat_ && repeated_id_ && *repeated_id_ < *last_event_id_)
    {
        broken_ = true;
        return false;
    }
    if (id)
    {
        last_event_id_ = id;
        may_repeat_ = false;
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
    resumes_ = last_event_id_.has_value();
    may_repeat_ = resumes_;
    repeated_id_.reset();
    broken_ = false;
}

} // namespace endivestage::serving
