/// \file
/// \brief Choice of the routers that act first, without agreement between them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace endivestage
{

/// \brief Whether a router may act for the fleet, of which any router can do the work.
///
/// About one router may act at first and four times as many with each step, so that the work is
/// done when the first ones are down or have nothing to do with the subject.
/// \param subject What the work is about; the order of the routers differs between subjects.
/// \param router Hash of the router's id.
/// \param routers Number of routers that may be running, at least 1.
/// \param steps Completed steps since the work became due.
bool may_act(std::uint64_t subject, std::uint64_t router, std::size_t routers, std::int64_t steps);

} // namespace endivestage
