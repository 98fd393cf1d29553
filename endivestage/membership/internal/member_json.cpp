#include <endivestage/membership/internal/member_json.hpp>

#include <limits>
#include <stdexcept>

namespace endivestage::internal
{

namespace json = boost::json;

namespace
{

std::uint16_t port_field(const json::object& object, json::string_view name)
{
    const std::uint64_t port = number_field(object, name);
    if (port > std::numeric_limits<std::uint16_t>::max())
    {
        throw std::out_of_range("port");
    }
    return static_cast<std::uint16_t>(port);
}

} // namespace

json::object member_to_json(const member& value)
{
    json::object object{{"id", value.id.str()},       {"zone", value.zone.str()},
                        {"host", value.host},         {"port", value.port},
                        {"udp_port", value.udp_port}, {"incarnation", value.incarnation}};
    if (value.leaving)
    {
        object["leaving"] = true;
    }
    return object;
}

member member_from_json(const json::value& value)
{
    const json::object& object = value.as_object();
    const json::value* leaving = object.if_contains("leaving");
    return {router_id(string_field(object, "id")),
            zone_id(string_field(object, "zone")),
            string_field(object, "host"),
            port_field(object, "port"),
            port_field(object, "udp_port"),
            number_field(object, "incarnation"),
            leaving != nullptr && leaving->as_bool()};
}

std::string string_field(const json::object& object, json::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

std::uint64_t number_field(const json::object& object, json::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

} // namespace endivestage::internal
