#include <endivestage/serving/handover_header.hpp>

#include <endivestage/daemon/http_types.hpp>

#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::http_fields;
using daemon::http_request;
using daemon::http_response;

namespace
{

/// Of requests: a format number, then the version of the configuration, the sends, the possible
/// executions, and for a stream that has begun its last event and the attempt that began it.
constexpr std::string_view request_field = "Endivestage-Handover";
constexpr std::string_view format = "1";
constexpr std::size_t min_parts = 4;
constexpr std::size_t max_parts = 6;
/// Of responses: "taken" or the name of a refusal.
constexpr std::string_view response_field = "Endivestage-Handover-Answer";
constexpr std::string_view taken = "taken";

bool has_name(const std::pair<std::string, std::string>& field, std::string_view name)
{
    return daemon::equals_ignoring_case(field.first, name);
}

template <class T>
bool parse(std::string_view text, T& value)
{
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

/// Splits at the first semicolons; the last part may hold more of them.
std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (parts.size() + 1 < max_parts && text.find(';') != std::string_view::npos)
    {
        parts.push_back(text.substr(0, text.find(';')));
        text.remove_prefix(text.find(';') + 1);
    }
    parts.push_back(text);
    return parts;
}

} // namespace

std::string_view to_string(handover_refusal refusal)
{
    switch (refusal)
    {
    case handover_refusal::cut_off:
        return "cut_off";
    case handover_refusal::busy:
        return "busy";
    case handover_refusal::not_ready:
        return "not_ready";
    case handover_refusal::stale:
        return "stale";
    case handover_refusal::malformed:
        break;
    }
    return "malformed";
}

void write_handover(http_request& request, const handover_info& info)
{
    std::erase_if(request.fields, [](const std::pair<std::string, std::string>& field)
                  { return has_name(field, request_field); });
    std::string text = std::string(format) + ";" + std::to_string(info.config_version) + ";" +
                       std::to_string(info.sends) + ";" + std::to_string(info.possible_executions);
    if (info.last_event_id)
    {
        text += ";" + std::to_string(*info.last_event_id) + ";" +
                info.first_attempt.value_or(request_id()).str();
    }
    request.fields.emplace_back(request_field, std::move(text));
}

bool is_handed_over(const http_request& request)
{
    return !daemon::find_field(request.fields, request_field).empty();
}

result<handover_info> take_handover(http_request& request)
{
    const std::string text(daemon::find_field(request.fields, request_field));
    std::erase_if(request.fields, [](const std::pair<std::string, std::string>& field)
                  { return has_name(field, request_field); });
    const std::vector<std::string_view> parts = split(text);
    handover_info info;
    const bool has_event = parts.size() == max_parts;
    const bool valid = (has_event || parts.size() == min_parts) && parts[0] == format &&
                       parse(parts[1], info.config_version) && parse(parts[2], info.sends) &&
                       parse(parts[3], info.possible_executions);
    if (!valid)
    {
        return make_error_code(errc::invalid_request);
    }
    if (has_event)
    {
        std::uint64_t event = 0;
        if (!parse(parts[4], event) || parts[5].empty())
        {
            return make_error_code(errc::invalid_request);
        }
        info.last_event_id = event;
        info.first_attempt = request_id(std::string(parts[5]));
    }
    return info;
}

void mark_response(http_response& response, std::optional<handover_refusal> refusal)
{
    // Endpoints may send any field.
    std::erase_if(response.fields, [](const std::pair<std::string, std::string>& field)
                  { return has_name(field, response_field); });
    response.fields.emplace_back(response_field, refusal ? to_string(*refusal) : taken);
}

handover_mark take_mark(http_response& response)
{
    handover_mark mark;
    mark.reason = std::string(daemon::find_field(response.fields, response_field));
    mark.present = !mark.reason.empty();
    mark.refused = mark.present && mark.reason != taken;
    std::erase_if(response.fields, [](const std::pair<std::string, std::string>& field)
                  { return has_name(field, response_field); });
    return mark;
}

awaitable<std::error_code> handover_writer::send(http_response response)
{
    mark_response(response, refusal_);
    co_return co_await writer_.send(std::move(response));
}

awaitable<std::error_code> handover_writer::begin(http_response head)
{
    mark_response(head, std::nullopt);
    co_return co_await writer_.begin(std::move(head));
}

awaitable<std::error_code> handover_writer::write(std::string_view chunk)
{
    co_return co_await writer_.write(chunk);
}

awaitable<std::error_code> handover_writer::end()
{
    co_return co_await writer_.end();
}

} // namespace endivestage::serving
