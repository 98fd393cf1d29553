/// \file
/// \brief Broadcast tree over the members of a view.
#pragma once

#include <cstddef>
#include <endivestage/membership/member.hpp>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Children of a router in the broadcast tree, to which it forwards a pushed change.
///
/// The members, rotated so that \p origin comes first, form a complete tree in level order.
/// All routers must pass the members in the same order, which is the order of the view.
/// \param members Members of the view, in its order.
/// \param origin Router that pushes the change; the root of the tree.
/// \param self Router that forwards the change.
/// \param fan_out Maximum number of children of a router; must be positive.
/// \returns At most \p fan_out members; none when \p origin or \p self is not a member.
std::vector<member> broadcast_children(std::span<const member> members, const router_id& origin,
                                       const router_id& self, std::size_t fan_out = 8);

} // namespace endivestage
