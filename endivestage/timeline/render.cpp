#include <endivestage/timeline/render.hpp>

#include <endivestage/core/text.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <string_view>

namespace endivestage
{

namespace
{

namespace json = boost::json;

bool is_alphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

/// \returns Whether a value with this character needs no quotes.
bool is_plain(char c)
{
    return is_alphanumeric(c) || std::string_view("-_.:/@+,").find(c) != std::string_view::npos;
}

void append_escaped(std::string& out, char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    switch (c)
    {
    case '"':
    case '\\':
        out += '\\';
        out += c;
        break;
    case '\n':
        out += "\\n";
        break;
    case '\r':
        out += "\\r";
        break;
    case '\t':
        out += "\\t";
        break;
    default:
        if (byte >= 0x20 && byte != 0x7f)
        {
            out += c;
            break;
        }
        out += "\\x";
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
        break;
    }
}

void append_value(std::string& out, std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain))
    {
        out += value;
        return;
    }
    out += '"';
    for (char c : value)
    {
        append_escaped(out, c);
    }
    out += '"';
}

void append_pair(std::string& out, std::string_view key, std::string_view value)
{
    out += ' ';
    for (char c : key)
    {
        out += is_alphanumeric(c) || c == '_' || c == '-' || c == '.' ? c : '_';
    }
    out += key.empty() ? "_=" : "=";
    append_value(out, value);
}

void append_id(std::string& out, std::string_view key, std::string_view value)
{
    if (!value.empty())
    {
        append_pair(out, key, value);
    }
}

/// JSON text must be valid UTF-8.
/// \returns \p text; if it is not valid UTF-8, with each byte above 127 replaced by '?'.
std::string json_text(std::string_view text)
{
    std::string out(text);
    if (!is_utf8(text))
    {
        std::replace_if(
            out.begin(), out.end(), [](char c) { return (c & 0x80) != 0; }, '?');
    }
    return out;
}

void set_id(json::object& out, std::string_view key, std::string_view value)
{
    if (!value.empty())
    {
        out[key] = json_text(value);
    }
}

std::string text_member(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    const json::string* text = found != nullptr ? found->if_string() : nullptr;
    return text != nullptr ? std::string(*text) : std::string();
}

const std::int64_t* number_member(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    return found != nullptr ? found->if_int64() : nullptr;
}

bool read_time(const json::object& object, hybrid_time& at)
{
    const std::int64_t* wall = number_member(object, "at_ms");
    const std::int64_t* counter = number_member(object, "at_counter");
    if (wall == nullptr || counter == nullptr || *counter < 0 ||
        *counter > std::numeric_limits<std::uint32_t>::max())
    {
        return false;
    }
    at = {*wall, static_cast<std::uint32_t>(*counter)};
    return true;
}

bool read_fields(const json::object& object, timeline_event& event)
{
    const json::value* found = object.if_contains("fields");
    if (found == nullptr || !found->is_object())
    {
        return found == nullptr;
    }
    for (const json::key_value_pair& it : found->get_object())
    {
        if (!it.value().is_string())
        {
            return false;
        }
        event.fields.emplace_back(it.key(), it.value().get_string());
    }
    return true;
}

} // namespace

std::string render_text(const timeline_event& event)
{
    std::string out =
        "at=" + std::to_string(event.at.wall_ms) + '.' + std::to_string(event.at.counter);
    append_pair(out, "kind", to_string(event.kind));
    append_id(out, "router", event.router.view());
    append_id(out, "zone", event.zone.view());
    append_id(out, "request", event.request.view());
    append_id(out, "endpoint", event.endpoint.view());
    for (const auto& [key, value] : event.fields)
    {
        append_pair(out, key, value);
    }
    return out;
}

std::string render_json(const timeline_event& event)
{
    json::object out;
    out["at_ms"] = event.at.wall_ms;
    out["at_counter"] = event.at.counter;
    out["kind"] = to_string(event.kind);
    set_id(out, "router", event.router.view());
    set_id(out, "zone", event.zone.view());
    set_id(out, "request", event.request.view());
    set_id(out, "endpoint", event.endpoint.view());
    json::object fields;
    for (const auto& [key, value] : event.fields)
    {
        fields[json_text(key)] = json_text(value);
    }
    out["fields"] = std::move(fields);
    return json::serialize(out);
}

result<timeline_event> parse_json_event(std::string_view text)
{
    if (text.size() > max_event_size)
    {
        return make_error_code(errc::too_large);
    }
    boost::system::error_code ec;
    const json::value parsed = json::parse(text, ec);
    if (ec || !parsed.is_object())
    {
        return make_error_code(errc::invalid_request);
    }
    const json::object& object = parsed.get_object();
    const std::optional<event_kind> kind = parse_event_kind(text_member(object, "kind"));
    timeline_event event;
    if (!kind || !read_time(object, event.at) || !read_fields(object, event))
    {
        return make_error_code(errc::invalid_request);
    }
    event.kind = *kind;
    event.router = router_id(text_member(object, "router"));
    event.zone = zone_id(text_member(object, "zone"));
    event.request = request_id(text_member(object, "request"));
    event.endpoint = endpoint_id(text_member(object, "endpoint"));
    return event;
}

} // namespace endivestage
