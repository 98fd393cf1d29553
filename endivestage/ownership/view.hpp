/// \file
/// \brief The view of a region: which routers are its members.
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
    preparing, ///< Engines that move are issued by nobody.
    active,
};

/// \brief Value of a region's view row.
struct view
{
    std::uint64_t number = 0; ///< The first view is 1; 0 means no view.
    view_state state = view_state::active;
    region_id region;
    std::vector<member> members;  ///< In order of their ids.
    std::vector<member> previous; ///< Members of view number - 1.

    bool operator==(const view&) const = default;
};

/// \returns Whether \p a replaces \p b: a higher number, or active instead of preparing.
bool is_newer(const view& a, const view& b);

/// \returns The member with this id, or null.
const member* find_member(std::span<const member> members, const router_id& id);

/// \returns Key of the region's view row in the table.
std::string view_key(const region_id& region);

/// \returns The view as JSON text, the value of the row.
std::string encode_view(const view& value);

/// \returns The view, or errc::invalid_request when the text is not a well-formed view.
result<view> decode_view(std::string_view text);

} // namespace endivestage
