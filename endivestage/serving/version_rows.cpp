#include <endivestage/serving/version_rows.hpp>

#include <endivestage/daemon/json_access.hpp>

namespace endivestage::serving
{

namespace json = boost::json;

namespace
{

constexpr std::string_view key_prefix = "versions/";

} // namespace

std::string version_row_key(const service_id& service)
{
    return std::string(key_prefix) + service.str();
}

std::optional<service_id> parse_version_row_key(std::string_view key)
{
    if (!key.starts_with(key_prefix) || key.size() == key_prefix.size())
    {
        return std::nullopt;
    }
    return service_id(std::string(key.substr(key_prefix.size())));
}

std::string encode_version_row(std::span<const std::string> versions)
{
    return json::serialize(
        json::object{{"versions", json::array(versions.begin(), versions.end())}});
}

result<std::vector<std::string>> decode_version_row(std::string_view data)
{
    const result<json::object> row = daemon::parse_json_object(data);
    if (!row)
    {
        return row.error();
    }
    std::vector<std::string> versions;
    for (const json::value& value : daemon::get_array(*row, "versions"))
    {
        if (!value.is_string())
        {
            return make_error_code(errc::invalid_request);
        }
        versions.emplace_back(value.get_string());
    }
    return versions;
}

} // namespace endivestage::serving
