/// \file
/// \brief The view of a region: the routers that are its members.
#pragma once

#include <cstdint>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/membership/member.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief Progress of a view change.
enum class view_state
{
    preparing, ///< No router issues permits for endpoints whose owner changes.
    active,
};

/// \brief Value of a region's view row.
struct view
{
    std::uint64_t number = 0; ///< The first view has number 1; 0 means that there is no view.
    view_state state = view_state::active;
    region_id region;
    std::vector<member> members;  ///< Sorted by id.
    std::vector<member> previous; ///< Members of the view with number - 1.

    bool operator==(const view&) const = default;
};

/// \returns Whether \p a replaces \p b: it has a higher number, or the same number and \p a is
/// active while \p b is preparing.
bool is_newer(const view& a, const view& b);

/// \returns The member with this id; null if there is none.
const member* find_member(std::span<const member> members, const router_id& id);

/// \returns Key of the region's view row in the table.
std::string view_key(const region_id& region);

/// \returns The view as JSON text, which is the value of the row.
std::string encode_view(const view& value);

/// \returns The view, or errc::invalid_request if the text is not a well-formed view.
result<view> decode_view(std::string_view text);

} // namespace endivestage
