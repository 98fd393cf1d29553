#include <endivestage/daemon/message_framing.hpp>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <optional>
#include <string_view>

namespace endivestage::daemon
{

namespace
{

using boost::beast::iequals;

bool is_length(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

message_framing check_framing(const http_fields& fields, unsigned minor_version)
{
    std::optional<std::string_view> length;
    std::optional<std::string_view> coding;
    for (const std::pair<std::string, std::string>& field : fields)
    {
        const bool is_coding = iequals(field.first, "Transfer-Encoding");
        if (!is_coding && !iequals(field.first, "Content-Length"))
        {
            continue;
        }
        std::optional<std::string_view>& value = is_coding ? coding : length;
        if (value)
        {
            return message_framing::malformed;
        }
        value = field.second;
    }
    if (length && (coding || !is_length(*length)))
    {
        return message_framing::malformed;
    }
    if (!coding)
    {
        return message_framing::valid;
    }
    if (minor_version == 0)
    {
        return message_framing::malformed;
    }
    return iequals(*coding, "chunked") ? message_framing::valid : message_framing::unknown_coding;
}

} // namespace endivestage::daemon
