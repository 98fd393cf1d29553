/// \file
/// \brief Roles that follow from the members of a view. All routers compute equal answers.
#pragma once

#include <cstddef>
#include <endivestage/core/ids.hpp>
#include <endivestage/membership/member.hpp>
#include <endivestage/ownership/view.hpp>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Most witnesses of a member.
inline constexpr std::size_t max_witnesses = 5;

/// \returns The member that owns the engine: rank 1 of rendezvous hashing over the members that
/// are not leaving. Null when there is none. Valid as long as \p members.
const member* owner_of(std::span<const member> members, const endpoint_id& endpoint);

/// \returns owner_of() over the members of the view. Valid as long as the view.
inline const member* owner_of(const view& in, const endpoint_id& endpoint)
{
    return owner_of(std::span<const member>(in.members), endpoint);
}

/// \returns The best \p limit members for the engine, the owner first; leaving members excluded.
std::vector<member> owner_candidates(const view& in, const endpoint_id& endpoint,
                                     std::size_t limit);

/// \brief The members that confirm the view to a member.
///
/// The best-ranked others under rendezvous hashing keyed by the member, where each pick prefers
/// the zones picked least so far. The member's own zone counts as picked once, so that a failed
/// zone takes a minority of the witnesses with it wherever there are three zones.
/// \returns At most max_witnesses members; all others when there are fewer.
std::vector<member> witnesses_of(std::span<const member> members, const router_id& id);

/// \returns witnesses_of() over the members of the view.
inline std::vector<member> witnesses_of(const view& in, const router_id& id)
{
    return witnesses_of(std::span<const member>(in.members), id);
}

/// \returns The best \p limit members that may compute the pool's mean load, best first; a router
/// uses the first one that it believes alive.
std::vector<member> aggregators_of(const view& in, const pool_id& pool, std::size_t limit = 1);

} // namespace endivestage
