#include <endivestage/daemon/http_types.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/url.hpp>
#include <boost/url/src.hpp>
#include <charconv>
#include <strings.h>

namespace endivestage::daemon
{

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view find_field(const http_fields& fields, std::string_view name)
{
    for (const std::pair<std::string, std::string>& field : fields)
    {
        if (equals_ignoring_case(field.first, name))
        {
            return field.second;
        }
    }
    return {};
}

std::string_view http_target::parameter(std::string_view name) const
{
    for (const std::pair<std::string, std::string>& entry : parameters)
    {
        if (entry.first == name)
        {
            return entry.second;
        }
    }
    return {};
}

bool parse_target(std::string_view target, http_target& parsed)
{
    parsed = {};
    const auto url = boost::urls::parse_origin_form(target);
    if (url.has_error())
    {
        return false;
    }
    for (const auto& segment : url->segments())
    {
        parsed.segments.emplace_back(segment);
    }
    for (const auto& parameter : url->params())
    {
        parsed.parameters.emplace_back(parameter.key, parameter.value);
    }
    return true;
}

std::string encode_component(std::string_view text)
{
    return boost::urls::encode({text.data(), text.size()}, boost::urls::unreserved_chars);
}

bool parse_network_address(std::string_view text, network_address& parsed)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view port = text.substr(colon + 1);
    unsigned value = 0;
    const std::from_chars_result end =
        std::from_chars(port.data(), port.data() + port.size(), value);
    if (end.ec != std::errc{} || end.ptr != port.data() + port.size() || value == 0 ||
        value > 65535)
    {
        return false;
    }
    boost::system::error_code ec;
    boost::asio::ip::make_address(host, ec);
    if (ec)
    {
        return false;
    }
    parsed = {std::string(host), static_cast<std::uint16_t>(value)};
    return true;
}

} // namespace endivestage::daemon
