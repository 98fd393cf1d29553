#include <endivestage/core/text.hpp>

#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>

#include <iterator>

namespace endivestage
{

bool is_utf8(std::string_view text)
{
    // The JSON parser rejects strings that are not UTF-8, while the serializer copies them
    // unchecked.
    boost::system::error_code ec;
    boost::json::parse(boost::json::serialize(boost::json::string_view(text)), ec);
    return !ec;
}

std::string to_hex(std::string_view data)
{
    std::string digits;
    digits.reserve(data.size() * 2);
    boost::algorithm::hex(data.begin(), data.end(), std::back_inserter(digits));
    return digits;
}

std::optional<std::string> from_hex(std::string_view digits)
{
    std::string data;
    data.reserve(digits.size() / 2);
    try
    {
        boost::algorithm::unhex(digits.begin(), digits.end(), std::back_inserter(data));
    }
    catch (const boost::algorithm::hex_decode_error&)
    {
        return std::nullopt;
    }
    return data;
}

} // namespace endivestage
