#include <endivestage/ledger/key.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace endivestage
{

namespace
{

constexpr std::size_t max_key_size = 200;
constexpr std::size_t uuid_size = 36;

bool is_printable(char c)
{
    return c > ' ' && c <= '~';
}

std::optional<std::int64_t> parse_number(std::string_view digits, int base)
{
    std::int64_t value = 0;
    const char* end = digits.data() + digits.size();
    const std::from_chars_result parsed = std::from_chars(digits.data(), end, value, base);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0)
    {
        return std::nullopt;
    }
    return value;
}

/// In a UUID of version 7, the first 48 bits are the creation time in milliseconds (RFC 9562,
/// section 5.7).
std::optional<std::int64_t> uuid_creation_time(std::string_view key)
{
    if (key.size() != uuid_size || key[8] != '-' || key[13] != '-' || key[14] != '7')
    {
        return std::nullopt;
    }
    return parse_number(std::string(key.substr(0, 8)).append(key.substr(9, 4)), 16);
}

std::optional<std::int64_t> prefix_creation_time(std::string_view key)
{
    const std::size_t dash = key.find('-');
    if (dash == std::string_view::npos || dash + 1 == key.size())
    {
        return std::nullopt;
    }
    // 15 digits reach the year 33658, and sums with the times in ledger_config cannot overflow.
    return dash > 15 ? std::nullopt : parse_number(key.substr(0, dash), 10);
}

} // namespace

result<time_point> key_creation_time(std::string_view key)
{
    if (key.size() > max_key_size || !std::all_of(key.begin(), key.end(), is_printable))
    {
        return make_error_code(errc::invalid_request);
    }
    std::optional<std::int64_t> created = uuid_creation_time(key);
    if (!created)
    {
        created = prefix_creation_time(key);
    }
    if (!created)
    {
        return make_error_code(errc::invalid_request);
    }
    return time_point{*created};
}

errc check_key(std::string_view key, time_point wall_now, const ledger_config& config)
{
    const result<time_point> created = key_creation_time(key);
    // A key with a creation time in the future would be accepted for longer than its row is kept.
    if (!created || *created > wall_now + config.clock_skew)
    {
        return errc::invalid_request;
    }
    return wall_now - *created > config.key_lifetime ? errc::key_expired : errc::ok;
}

} // namespace endivestage
