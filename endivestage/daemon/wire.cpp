#include <endivestage/daemon/wire.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

json::object encode_origin(const message_origin& origin)
{
    return {{"id", origin.id.str()}, {"incarnation", origin.incarnation}};
}

message_origin decode_origin(const json::object& object)
{
    return {router_id(get_text(object, "id")), get_unsigned(object, "incarnation")};
}

void put_view(json::object& object, const char* key, const view_pointer& value)
{
    if (value)
    {
        object[key] = encode_view(*value);
    }
}

view_pointer take_view(const json::object& object, const char* key)
{
    const std::string text = get_text(object, key);
    result<view> decoded =
        text.empty() ? result<view>(make_error_code(errc::not_found)) : decode_view(text);
    return decoded ? std::make_shared<const view>(std::move(*decoded)) : nullptr;
}

struct view_message_encoder
{
    json::object operator()(const confirm_request& message) const
    {
        return {{"type", "confirm_request"},
                {"from", encode_origin(message.from)},
                {"question", message.question},
                {"number", message.number},
                {"preparing", message.state == view_state::preparing}};
    }

    json::object operator()(const confirm_answer& message) const
    {
        json::object object{{"type", "confirm_answer"},     {"from", encode_origin(message.from)},
                            {"asked_by", message.asked_by}, {"question", message.question},
                            {"number", message.number},     {"confirmed", message.confirmed}};
        put_view(object, "newest", message.newest);
        return object;
    }

    json::object operator()(const view_announce& message) const
    {
        json::object object{{"type", "view_announce"},
                            {"from", encode_origin(message.from)},
                            {"root", message.root.str()}};
        put_view(object, "announced", message.announced);
        return object;
    }

    json::object operator()(const view_acknowledgement& message) const
    {
        return {{"type", "view_acknowledgement"},
                {"from", encode_origin(message.from)},
                {"number", message.number}};
    }
};

permit_outcome::kind outcome_kind(const std::string& name)
{
    if (name == "completed")
    {
        return permit_outcome::kind::completed;
    }
    return name == "failed" ? permit_outcome::kind::failed : permit_outcome::kind::unused;
}

const char* outcome_name(permit_outcome::kind what)
{
    switch (what)
    {
    case permit_outcome::kind::completed:
        return "completed";
    case permit_outcome::kind::failed:
        return "failed";
    case permit_outcome::kind::unused:
        break;
    }
    return "unused";
}

permit_key decode_key(const json::object& object)
{
    return {get_unsigned(object, "view"), get_unsigned(object, "sequence")};
}

void put_key(json::object& object, const permit_key& key)
{
    object["view"] = key.view;
    object["sequence"] = key.sequence;
}

} // namespace

peer_address peer_address_of(const member& who)
{
    return {who.host, who.port};
}

json::object encode(const view_message& message)
{
    return std::visit(view_message_encoder{}, message);
}

result<view_message> decode_view_message(const json::object& object)
{
    const std::string type = get_text(object, "type");
    const message_origin from = decode_origin(get_object(object, "from"));
    if (from.id.empty())
    {
        return make_error_code(errc::invalid_request);
    }
    if (type == "confirm_request")
    {
        const view_state state =
            get_flag(object, "preparing") ? view_state::preparing : view_state::active;
        return view_message(confirm_request{from, get_unsigned(object, "question"),
                                            get_unsigned(object, "number"), state});
    }
    if (type == "confirm_answer")
    {
        return view_message(
            confirm_answer{from, get_unsigned(object, "asked_by"), get_unsigned(object, "question"),
                           get_unsigned(object, "number"), get_flag(object, "confirmed"),
                           take_view(object, "newest")});
    }
    if (type == "view_announce")
    {
        view_announce announce{from, take_view(object, "announced"),
                               router_id(get_text(object, "root"))};
        if (announce.announced)
        {
            return view_message(std::move(announce));
        }
    }
    if (type == "view_acknowledgement")
    {
        return view_message(view_acknowledgement{from, get_unsigned(object, "number")});
    }
    return make_error_code(errc::invalid_request);
}

json::object encode(const acquire_message& message)
{
    const permit_request& request = message.request;
    return {{"engine", message.engine.str()}, {"request", request.request.str()},
            {"team", request.team.str()},     {"priority", request.priority},
            {"chat", request.chat.str()},     {"history", request.history_tokens},
            {"wait", request.wait_allowed},   {"remaining_ms", message.remaining.count}};
}

result<acquire_message> decode_acquire(const json::object& object)
{
    acquire_message message;
    message.engine = endpoint_id(get_text(object, "engine"));
    message.request.request = request_id(get_text(object, "request"));
    message.request.team = team_id(get_text(object, "team"));
    message.request.priority = static_cast<std::uint8_t>(get_unsigned(object, "priority"));
    message.request.chat = chat_id(get_text(object, "chat"));
    message.request.history_tokens = static_cast<std::uint32_t>(get_unsigned(object, "history"));
    message.request.wait_allowed = get_flag(object, "wait");
    message.remaining = {get_number(object, "remaining_ms")};
    if (message.engine.empty() || message.request.request.empty())
    {
        return make_error_code(errc::invalid_request);
    }
    return message;
}

json::object encode(const granted_permit& granted)
{
    json::object object{{"owner", encode_origin(granted.owner)},
                        {"renewal", granted.value.renewal},
                        {"time_to_use_ms", granted.value.time_to_use.count},
                        {"load", granted.value.load},
                        {"limit", granted.value.limit},
                        {"cached_tokens", granted.value.cached_tokens}};
    put_key(object, granted.value.key);
    return object;
}

result<granted_permit> decode_granted(const json::object& object)
{
    granted_permit granted;
    granted.owner = decode_origin(get_object(object, "owner"));
    granted.value.key = decode_key(object);
    granted.value.renewal = static_cast<std::uint32_t>(get_unsigned(object, "renewal"));
    granted.value.time_to_use = {get_number(object, "time_to_use_ms")};
    granted.value.load = static_cast<std::uint32_t>(get_unsigned(object, "load"));
    granted.value.limit = static_cast<std::uint32_t>(get_unsigned(object, "limit"));
    granted.value.cached_tokens = static_cast<std::uint32_t>(get_unsigned(object, "cached_tokens"));
    if (granted.owner.id.empty() || granted.value.key.sequence == 0)
    {
        return make_error_code(errc::invalid_request);
    }
    return granted;
}

json::object encode(const permit_outcome& outcome)
{
    json::object object{{"outcome", outcome_name(outcome.what)}, {"tokens", outcome.tokens}};
    if (outcome.first_token)
    {
        object["first_token_ms"] = outcome.first_token->count;
    }
    return object;
}

permit_outcome decode_outcome(const json::object& object)
{
    permit_outcome outcome;
    outcome.what = outcome_kind(get_text(object, "outcome"));
    outcome.tokens = static_cast<std::uint32_t>(get_unsigned(object, "tokens"));
    if (object.contains("first_token_ms"))
    {
        outcome.first_token = millis{get_number(object, "first_token_ms")};
    }
    return outcome;
}

json::object encode(const held_permit& held)
{
    json::object object{
        {"holder", held.holder.str()}, {"request", held.request.str()}, {"chat", held.chat.str()}};
    put_key(object, held.key);
    return object;
}

held_permit decode_held(const json::object& object)
{
    return {decode_key(object), router_id(get_text(object, "holder")),
            request_id(get_text(object, "request")), chat_id(get_text(object, "chat"))};
}

json::array encode(const std::vector<engine_load>& loads)
{
    json::array array;
    for (const engine_load& load : loads)
    {
        array.push_back(json::array{load.engine.str(), load.load, load.capacity});
    }
    return array;
}

std::vector<engine_load> decode_loads(const json::array& array)
{
    std::vector<engine_load> loads;
    for (const json::value& value : array)
    {
        const json::array* entry = value.if_array();
        if (entry == nullptr || entry->size() != 3 || !(*entry)[0].is_string() ||
            !(*entry)[1].is_number() || !(*entry)[2].is_number())
        {
            continue;
        }
        json::error_code ec;
        engine_load load;
        load.engine = endpoint_id(std::string((*entry)[0].get_string()));
        load.load = (*entry)[1].to_number<std::uint32_t>(ec);
        load.capacity = (*entry)[2].to_number<double>(ec);
        loads.push_back(std::move(load));
    }
    return loads;
}

} // namespace endivestage::daemon
