#include <endivestage/membership/packet.hpp>

#include <endivestage/membership/internal/member_json.hpp>
#include <stdexcept>

namespace endivestage
{

namespace json = boost::json;

namespace
{

std::string_view to_string(packet::kind kind)
{
    switch (kind)
    {
    case packet::kind::ping:
        return "ping";
    case packet::kind::ping_request:
        return "ping_request";
    case packet::kind::ack:
        break;
    }
    return "ack";
}

// Returns the enumerator with this name; throws when there is none.
template <class Enum>
Enum parse(std::string_view name, std::initializer_list<Enum> values)
{
    for (const Enum value : values)
    {
        if (to_string(value) == name)
        {
            return value;
        }
    }
    throw std::invalid_argument("name");
}

json::object update_to_json(const member_update& update)
{
    return {{"who", internal::member_to_json(update.who)},
            {"state", std::string(to_string(update.state))},
            {"refutation", update.refutation}};
}

member_update update_from_json(const json::value& value)
{
    const json::object& object = value.as_object();
    return {internal::member_from_json(object.at("who")),
            parse(internal::string_field(object, "state"),
                  {member_state::alive, member_state::suspect, member_state::dead}),
            internal::number_field(object, "refutation")};
}

packet packet_from_json(const json::value& value)
{
    const json::object& object = value.as_object();
    packet result;
    result.type = parse(internal::string_field(object, "kind"),
                        {packet::kind::ping, packet::kind::ping_request, packet::kind::ack});
    result.sequence = internal::number_field(object, "sequence");
    result.from = internal::member_from_json(object.at("from"));
    result.target = router_id(internal::string_field(object, "target"));
    for (const json::value& it : object.at("updates").as_array())
    {
        result.updates.push_back(update_from_json(it));
    }
    for (const json::value& it : object.at("announcements").as_array())
    {
        const json::object& item = it.as_object();
        result.announcements.push_back({internal::string_field(item, "key"),
                                        internal::string_field(item, "value"),
                                        internal::number_field(item, "version")});
    }
    return result;
}

} // namespace

std::string_view to_string(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        break;
    }
    return "dead";
}

std::string encode_packet(const packet& value)
{
    json::array updates;
    for (const member_update& update : value.updates)
    {
        updates.push_back(update_to_json(update));
    }
    json::array announcements;
    for (const announcement& item : value.announcements)
    {
        announcements.push_back(
            json::object{{"key", item.key}, {"value", item.value}, {"version", item.version}});
    }
    return json::serialize(json::object{{"kind", std::string(to_string(value.type))},
                                        {"sequence", value.sequence},
                                        {"from", internal::member_to_json(value.from)},
                                        {"target", value.target.str()},
                                        {"updates", std::move(updates)},
                                        {"announcements", std::move(announcements)}});
}

result<packet> decode_packet(std::string_view text)
{
    try
    {
        return packet_from_json(json::parse(json::string_view(text.data(), text.size())));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::invalid_request);
    }
}

} // namespace endivestage
