#include <endivestage/daemon/json_access.hpp>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_depth = 16;

} // namespace

result<json::object> parse_json_object(std::string_view text, json_text texts)
{
    json::parse_options options;
    options.max_depth = max_depth;
    options.allow_invalid_utf8 = texts == json_text::bytes;
    json::error_code ec;
    json::value value = json::parse({text.data(), text.size()}, ec, {}, options);
    if (ec || !value.is_object())
    {
        return make_error_code(errc::invalid_request);
    }
    return std::move(value.as_object());
}

std::string get_text(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_string()
               ? std::string(value->get_string().data(), value->get_string().size())
               : std::string();
}

std::int64_t get_number(const json::object& object, std::string_view key, std::int64_t fallback)
{
    const json::value* value = object.if_contains({key.data(), key.size()});
    json::error_code ec;
    if (value == nullptr || !value->is_number())
    {
        return fallback;
    }
    const std::int64_t n = value->to_number<std::int64_t>(ec);
    return ec ? fallback : n;
}

std::uint64_t get_unsigned(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains({key.data(), key.size()});
    json::error_code ec;
    if (value == nullptr || !value->is_number())
    {
        return 0;
    }
    const std::uint64_t n = value->to_number<std::uint64_t>(ec);
    return ec ? 0 : n;
}

double get_real(const json::object& object, std::string_view key, double fallback)
{
    const json::value* value = object.if_contains({key.data(), key.size()});
    json::error_code ec;
    if (value == nullptr || !value->is_number())
    {
        return fallback;
    }
    const double n = value->to_number<double>(ec);
    return ec ? fallback : n;
}

bool get_flag(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

const json::object& get_object(const json::object& object, std::string_view key)
{
    static const json::object none;
    const json::value* value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_object() ? value->get_object() : none;
}

const json::array& get_array(const json::object& object, std::string_view key)
{
    static const json::array none;
    const json::value* value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_array() ? value->get_array() : none;
}

errc errc_from_name(std::string_view name)
{
    for (int n = 0; n < static_cast<int>(errc::internal); ++n)
    {
        if (to_string(static_cast<errc>(n)) == name)
        {
            return static_cast<errc>(n);
        }
    }
    return errc::internal;
}

} // namespace endivestage::daemon
