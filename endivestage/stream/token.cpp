#include <endivestage/stream/token.hpp>

#include <endivestage/core/text.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace endivestage
{

namespace
{

/// First byte of the signed text; it changes with the format.
constexpr char format_version = '1';

/// Appends a field as its decimal size, ':' and its bytes, so that no byte needs escaping.
void append_field(std::string& out, std::string_view field)
{
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

/// Reads a number and the \p terminator after it, and removes both from the front of \p input.
std::optional<std::int64_t> consume_number(std::string_view& input, char terminator)
{
    std::int64_t value = 0;
    const char* end = input.data() + input.size();
    const std::from_chars_result parsed = std::from_chars(input.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != terminator)
    {
        return std::nullopt;
    }
    input.remove_prefix(static_cast<std::size_t>(parsed.ptr - input.data()) + 1);
    return value;
}

/// Reads a field that append_field wrote and removes it from the front of \p input.
std::optional<std::string> consume_field(std::string_view& input)
{
    const std::optional<std::int64_t> size = consume_number(input, ':');
    if (!size || *size < 0 || static_cast<std::uint64_t>(*size) > input.size())
    {
        return std::nullopt;
    }
    std::string field(input.substr(0, static_cast<std::size_t>(*size)));
    input.remove_prefix(field.size());
    return field;
}

std::optional<resume_token> parse(std::string_view text)
{
    if (text.empty() || text.front() != format_version)
    {
        return std::nullopt;
    }
    text.remove_prefix(1);
    const std::optional<std::int64_t> created = consume_number(text, ',');
    if (!created)
    {
        return std::nullopt;
    }
    std::array<std::string, 5> fields;
    for (std::string& it : fields)
    {
        std::optional<std::string> field = consume_field(text);
        if (!field)
        {
            return std::nullopt;
        }
        it = std::move(*field);
    }
    if (!text.empty())
    {
        return std::nullopt;
    }
    return resume_token{request_id(fields[0]), pool_id(fields[1]),   endpoint_id(fields[2]),
                        team_id(fields[3]),    router_id(fields[4]), time_point{*created}};
}

} // namespace

std::string encode_token(const resume_token& token, const token_signer& signer)
{
    std::string text(1, format_version);
    text += std::to_string(token.created_at.since_epoch);
    text += ',';
    append_field(text, token.request.view());
    append_field(text, token.pool.view());
    append_field(text, token.engine.view());
    append_field(text, token.team.view());
    append_field(text, token.entry_router.view());
    return to_hex(text) + '.' + to_hex(signer.sign(text));
}

result<resume_token> decode_token(std::string_view text, const token_signer& signer)
{
    if (text.size() > max_token_size)
    {
        return make_error_code(errc::too_large);
    }
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
    {
        return make_error_code(errc::invalid_request);
    }
    const std::optional<std::string> content = from_hex(text.substr(0, dot));
    const std::optional<std::string> signature = from_hex(text.substr(dot + 1));
    if (!content || !signature)
    {
        return make_error_code(errc::invalid_request);
    }
    if (!signer.verify(*content, *signature))
    {
        return make_error_code(errc::unauthorized);
    }
    std::optional<resume_token> token = parse(*content);
    if (!token)
    {
        return make_error_code(errc::invalid_request);
    }
    return *std::move(token);
}

bool is_token_expired(const resume_token& token, time_point wall_now, millis ttl)
{
    return wall_now > token.created_at + ttl;
}

} // namespace endivestage
