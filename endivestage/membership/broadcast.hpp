/// \file
/// \brief Push tree over the members of a view.
#pragma once

#include <cstddef>
#include <endivestage/membership/member.hpp>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief The routers to which a router forwards a pushed change.
///
/// The members in the given order, rotated so that the origin comes first, form a complete tree.
/// All routers must use the same order, that of the view.
/// \param members Members of the view, in its order.
/// \param origin Router that pushes the change.
/// \param self Router that forwards.
/// \param fan_out Largest number of children; must be positive.
/// \returns At most \p fan_out members; none when origin or self is not a member.
std::vector<member> broadcast_children(std::span<const member> members, const router_id& origin,
                                       const router_id& self, std::size_t fan_out = 8);

} // namespace endivestage
