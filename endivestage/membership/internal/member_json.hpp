/// \file
/// \brief JSON encoding of a member, shared by packets and view rows.
#pragma once

#include <boost/json.hpp>
#include <endivestage/membership/member.hpp>

namespace endivestage::internal
{

/// \returns The member as a JSON object.
boost::json::object member_to_json(const member& value);

/// \returns The decoded member. Throws std::exception when a field is missing or has a wrong type.
member member_from_json(const boost::json::value& value);

/// \returns A string field. Throws std::exception when it is missing or has a wrong type.
std::string string_field(const boost::json::object& object, boost::json::string_view name);

/// \returns A non-negative integer field. Throws std::exception when it is missing or has a wrong
/// type.
std::uint64_t number_field(const boost::json::object& object, boost::json::string_view name);

} // namespace endivestage::internal
