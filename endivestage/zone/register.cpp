#include <endivestage/zone/register.hpp>

#include <boost/json.hpp>
#include <exception>
#include <tuple>

namespace endivestage
{

namespace
{

namespace json = boost::json;

zone_register parse_register(const json::value& document)
{
    const std::string state = json::value_to<std::string>(document.at("state"));
    if (state != "in_service" && state != "out_of_service")
    {
        throw std::invalid_argument("state");
    }
    zone_register value;
    value.zone = zone_id(json::value_to<std::string>(document.at("zone")));
    value.counter = document.at("counter").to_number<std::uint64_t>();
    value.state = state == "in_service" ? zone_state::in_service : zone_state::out_of_service;
    value.author = json::value_to<std::string>(document.at("author"));
    return value;
}

} // namespace

std::string_view to_string(zone_state state)
{
    return state == zone_state::in_service ? "in_service" : "out_of_service";
}

bool supersedes(const zone_register& a, const zone_register& b)
{
    const bool a_out = a.state == zone_state::out_of_service;
    const bool b_out = b.state == zone_state::out_of_service;
    return std::tie(a.counter, a_out, a.author) > std::tie(b.counter, b_out, b.author);
}

zone_register merge_registers(const zone_register& a, const zone_register& b)
{
    return supersedes(b, a) ? b : a;
}

std::string to_json(const zone_register& value)
{
    return json::serialize(json::object{{"zone", value.zone.str()},
                                        {"counter", value.counter},
                                        {"state", std::string(to_string(value.state))},
                                        {"author", value.author}});
}

result<zone_register> zone_register_from_json(std::string_view text)
{
    try
    {
        return parse_register(json::parse(json::string_view(text.data(), text.size())));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::invalid_request);
    }
}

std::string zone_row_key(const zone_id& zone)
{
    return "zone/" + zone.str();
}

} // namespace endivestage
