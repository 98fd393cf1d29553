#include <endivestage/stream/token.hpp>

#include <endivestage/core/text.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace endivestage
{

namespace
{

/// First byte of the signed text; a later format gets another.
constexpr char format_version = '1';

/// A field is its length in decimal, ':' and its bytes, so that no byte needs an escape.
void append_field(std::string& out, std::string_view field)
{
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

/// Takes the number before \p end_mark off the front of \p from.
std::optional<std::int64_t> take_number(std::string_view& from, char end_mark)
{
    std::int64_t value = 0;
    const char* end = from.data() + from.size();
    const std::from_chars_result parsed = std::from_chars(from.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != end_mark)
    {
        return std::nullopt;
    }
    from.remove_prefix(static_cast<std::size_t>(parsed.ptr - from.data()) + 1);
    return value;
}

std::optional<std::string> take_field(std::string_view& from)
{
    const std::optional<std::int64_t> size = take_number(from, ':');
    if (!size || *size < 0 || static_cast<std::uint64_t>(*size) > from.size())
    {
        return std::nullopt;
    }
    std::string field(from.substr(0, static_cast<std::size_t>(*size)));
    from.remove_prefix(field.size());
    return field;
}

std::optional<resume_token> parse(std::string_view text)
{
    if (text.empty() || text.front() != format_version)
    {
        return std::nullopt;
    }
    text.remove_prefix(1);
    const std::optional<std::int64_t> created = take_number(text, ',');
    if (!created)
    {
        return std::nullopt;
    }
    std::array<std::string, 5> fields;
    for (std::string& it : fields)
    {
        std::optional<std::string> field = take_field(text);
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

bool is_token_expired(const resume_token& token, time_point wall_now, millis lifetime)
{
    return wall_now > token.created_at + lifetime;
}

} // namespace endivestage
