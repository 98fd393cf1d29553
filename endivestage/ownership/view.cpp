#include <endivestage/ownership/view.hpp>

#include <algorithm>
#include <endivestage/membership/internal/member_json.hpp>
#include <stdexcept>

namespace endivestage
{

namespace json = boost::json;

namespace
{

json::array members_to_json(std::span<const member> members)
{
    json::array array;
    for (const member& entry : members)
    {
        array.push_back(internal::member_to_json(entry));
    }
    return array;
}

std::vector<member> members_from_json(const json::value& value)
{
    std::vector<member> members;
    for (const json::value& it : value.as_array())
    {
        members.push_back(internal::member_from_json(it));
    }
    std::sort(members.begin(), members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    return members;
}

// Encodes the previous members as a difference to the members, which halves the size of the row
// at 400 members.
json::object difference_to_json(const view& value)
{
    json::array added;
    for (const member& entry : value.members)
    {
        if (find_member(value.previous, entry.id) == nullptr)
        {
            added.push_back(json::string(entry.id.str()));
        }
    }
    json::array changed;
    for (const member& entry : value.previous)
    {
        const member* current = find_member(value.members, entry.id);
        if (current == nullptr || *current != entry)
        {
            changed.push_back(internal::member_to_json(entry));
        }
    }
    return {{"added", std::move(added)}, {"changed", std::move(changed)}};
}

std::vector<member> previous_from_json(const json::object& difference,
                                       std::span<const member> members)
{
    std::vector<member> previous = members_from_json(difference.at("changed"));
    const std::vector<member> changed = previous;
    const json::array& added = difference.at("added").as_array();
    for (const member& entry : members)
    {
        const bool is_added =
            std::any_of(added.begin(), added.end(),
                        [&](const json::value& it) { return it.as_string() == entry.id.str(); });
        if (!is_added && find_member(changed, entry.id) == nullptr)
        {
            previous.push_back(entry);
        }
    }
    std::sort(previous.begin(), previous.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    return previous;
}

view view_from_json(const json::value& value)
{
    const json::object& object = value.as_object();
    view result;
    result.number = internal::number_field(object, "number");
    const std::string state = internal::string_field(object, "state");
    if (state != "preparing" && state != "active")
    {
        throw std::invalid_argument("state");
    }
    result.state = state == "preparing" ? view_state::preparing : view_state::active;
    result.region = region_id(internal::string_field(object, "region"));
    result.members = members_from_json(object.at("members"));
    result.previous = previous_from_json(object.at("previous").as_object(), result.members);
    return result;
}

} // namespace

bool is_newer(const view& a, const view& b)
{
    return a.number > b.number || (a.number == b.number && a.state == view_state::active &&
                                   b.state == view_state::preparing);
}

const member* find_member(std::span<const member> members, const router_id& id)
{
    const auto it = std::find_if(members.begin(), members.end(),
                                 [&](const member& entry) { return entry.id == id; });
    return it == members.end() ? nullptr : &*it;
}

std::string view_key(const region_id& region)
{
    return "view/" + region.str();
}

std::string encode_view(const view& value)
{
    return json::serialize(
        json::object{{"number", value.number},
                     {"state", value.state == view_state::active ? "active" : "preparing"},
                     {"region", value.region.str()},
                     {"members", members_to_json(value.members)},
                     {"previous", difference_to_json(value)}});
}

result<view> decode_view(std::string_view text)
{
    try
    {
        return view_from_json(json::parse(json::string_view(text.data(), text.size())));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::invalid_request);
    }
}

} // namespace endivestage
