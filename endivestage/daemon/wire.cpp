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

json::object encode_handover(const engine_handover& handover)
{
    json::array outstanding;
    for (const outstanding_permit& permit : handover.account.outstanding)
    {
        json::object object{
            {"owner", encode_origin({permit.stamp.owner, permit.stamp.owner_incarnation})},
            {"holder", encode_origin(permit.holder)}};
        put_key(object, {permit.stamp.view_number, permit.stamp.sequence});
        outstanding.push_back(std::move(object));
    }
    json::array cache;
    for (const recency_entry& entry : handover.cache)
    {
        cache.push_back(json::array{entry.chat_key, entry.tokens});
    }
    return {{"ended_in", handover.account.ended_in},
            {"complete", handover.account.complete},
            {"outstanding", std::move(outstanding)},
            {"incarnation", handover.incarnation},
            {"warm", handover.warm},
            {"cache", std::move(cache)}};
}

engine_handover decode_handover(const endpoint_id& engine, const json::object& object)
{
    engine_handover handover;
    handover.account.ended_in = get_unsigned(object, "ended_in");
    handover.account.complete = get_flag(object, "complete");
    for (const json::value& value : get_array(object, "outstanding"))
    {
        if (const json::object* permit = value.if_object())
        {
            const message_origin owner = decode_origin(get_object(*permit, "owner"));
            handover.account.outstanding.push_back({make_stamp(engine, decode_key(*permit), owner),
                                                    decode_origin(get_object(*permit, "holder"))});
        }
    }
    handover.incarnation = get_unsigned(object, "incarnation");
    handover.warm = get_flag(object, "warm");
    for (const json::value& value : get_array(object, "cache"))
    {
        const json::array* entry = value.if_array();
        if (entry != nullptr && entry->size() == 2 && (*entry)[0].is_number() &&
            (*entry)[1].is_number())
        {
            json::error_code ec;
            const std::uint64_t key = (*entry)[0].to_number<std::uint64_t>(ec);
            const std::uint32_t tokens = (*entry)[1].to_number<std::uint32_t>(ec);
            handover.cache.push_back({key, tokens});
        }
    }
    return handover;
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
    json::object object{{"outcome", outcome_name(outcome.status)}, {"tokens", outcome.tokens}};
    if (outcome.first_token)
    {
        object["first_token_ms"] = outcome.first_token->count;
    }
    return object;
}

permit_outcome decode_outcome(const json::object& object)
{
    permit_outcome outcome;
    outcome.status = outcome_kind(get_text(object, "outcome"));
    outcome.tokens = static_cast<std::uint32_t>(get_unsigned(object, "tokens"));
    if (object.contains("first_token_ms"))
    {
        outcome.first_token = millis{get_number(object, "first_token_ms")};
    }
    return outcome;
}

permit_stamp make_stamp(const endpoint_id& engine, const permit_key& key,
                        const message_origin& owner)
{
    return {engine, owner.id, owner.incarnation, key.view, key.sequence};
}

json::object encode(const held_report& report)
{
    json::array permits;
    for (const reported_permit& permit : report.permits)
    {
        json::object object{{"owner", encode_origin(permit.owner)},
                            {"holder", permit.held.holder.str()},
                            {"request", permit.held.request.str()},
                            {"chat", permit.held.chat.str()}};
        put_key(object, permit.held.key);
        permits.push_back(std::move(object));
    }
    json::object body{{"from", encode_origin(report.from)},
                      {"number", report.view_number},
                      {"held", std::move(permits)}};
    if (report.handover)
    {
        body["handover"] = encode_handover(*report.handover);
    }
    return body;
}

held_report decode_held_report(const endpoint_id& engine, const json::object& object)
{
    held_report report;
    report.from = decode_origin(get_object(object, "from"));
    report.view_number = get_unsigned(object, "number");
    for (const json::value& value : get_array(object, "held"))
    {
        if (const json::object* permit = value.if_object())
        {
            report.permits.push_back(
                {{decode_key(*permit), router_id(get_text(*permit, "holder")),
                  request_id(get_text(*permit, "request")), chat_id(get_text(*permit, "chat"))},
                 decode_origin(get_object(*permit, "owner"))});
        }
    }
    if (object.contains("handover"))
    {
        report.handover = decode_handover(engine, get_object(object, "handover"));
    }
    return report;
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
