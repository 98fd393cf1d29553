/// \file
/// \brief Assignment of roles to the members of a view. All routers compute the same assignment.
#pragma once

#include <cstddef>
#include <endivestage/core/ids.hpp>
#include <endivestage/membership/member.hpp>
#include <endivestage/ownership/view.hpp>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Maximum number of witnesses of a member.
inline constexpr std::size_t max_witnesses = 5;

/// \returns The member that owns the endpoint: rank 1 of rendezvous hashing over the members
/// that are not leaving. Null if there is none. The pointer is valid as long as \p members.
const member* owner_of(std::span<const member> members, const endpoint_id& endpoint);

/// \returns owner_of() over the members of the view. The pointer is valid as long as the view.
inline const member* owner_of(const view& current, const endpoint_id& endpoint)
{
    return owner_of(std::span<const member>(current.members), endpoint);
}

/// \returns The first \p limit members in the endpoint's ranking, without leaving members; the
/// owner comes first.
std::vector<member> owner_candidates(const view& current, const endpoint_id& endpoint,
                                     std::size_t limit);

/// \brief Selects the members that confirm views to a member.
///
/// The other members are ranked by rendezvous hashing keyed by the member, and each pick prefers
/// the zones with the fewest picks so far. The member's own zone starts with one pick, so that with
/// three zones or more a failed zone takes only a minority of the witnesses with it.
/// \returns At most max_witnesses members; all other members if there are fewer.
std::vector<member> witnesses_of(std::span<const member> members, const router_id& id);

/// \returns witnesses_of() over the members of the view.
inline std::vector<member> witnesses_of(const view& current, const router_id& id)
{
    return witnesses_of(std::span<const member>(current.members), id);
}

/// \returns The first \p limit members in the pool's ranking, without leaving members. They may
/// compute the mean load of the pool; a router uses the first of them that it considers alive.
std::vector<member> aggregators_of(const view& current, const pool_id& pool, std::size_t limit = 1);

} // namespace endivestage
