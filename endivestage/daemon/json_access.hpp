/// \file
/// \brief Reading members of JSON objects of messages without exceptions.
#pragma once

#include <endivestage/core.hpp>

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage::daemon
{

/// \brief Which bytes the texts of a JSON document may contain.
enum class json_text
{
    utf8,  ///< Valid UTF-8 only.
    bytes, ///< Any bytes; for documents of other routers, which quote rows of any writer.
};

/// \brief Parses a JSON object of bounded depth.
/// \returns The object, or errc::invalid_request.
result<boost::json::object> parse_json_object(std::string_view text,
                                              json_text texts = json_text::utf8);

/// \returns The member as text; empty when absent or of another type.
std::string get_text(const boost::json::object& object, std::string_view key);

/// \returns The member as a whole number; \p fallback when absent or of another type.
std::int64_t get_number(const boost::json::object& object, std::string_view key,
                        std::int64_t fallback = 0);

/// \returns The member as an unsigned number; 0 when absent, negative or of another type.
std::uint64_t get_unsigned(const boost::json::object& object, std::string_view key);

/// \returns The member as a number; \p fallback when absent or of another type.
double get_real(const boost::json::object& object, std::string_view key, double fallback = 0.0);

/// \returns The member as a truth value; false when absent or of another type.
bool get_flag(const boost::json::object& object, std::string_view key);

/// \returns The member as an object; empty when absent or of another type.
const boost::json::object& get_object(const boost::json::object& object, std::string_view key);

/// \returns The member as an array; empty when absent or of another type.
const boost::json::array& get_array(const boost::json::object& object, std::string_view key);

/// \returns The code with this name; errc::internal when there is none.
errc errc_from_name(std::string_view name);

} // namespace endivestage::daemon
