#include <endivestage/core.hpp>
#include <endivestage/routing/staggering.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <string_view>

namespace endivestage
{

namespace
{

/// More steps would entitle more routers than any fleet has.
constexpr std::int64_t max_steps = 16;

/// \returns A number from 0 to 1 that is uniform over the routers and independent between subjects.
double unit_hash(std::uint64_t subject, std::uint64_t router)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&subject), sizeof subject);
    return static_cast<double>(hash64(bytes, router)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

bool may_act(std::uint64_t subject, std::uint64_t router, std::size_t routers, std::int64_t steps)
{
    assert(routers > 0);
    const double entitled =
        std::pow(4.0, static_cast<double>(std::clamp<std::int64_t>(steps, 0, max_steps)));
    return unit_hash(subject, router) * static_cast<double>(routers) <= entitled;
}

} // namespace endivestage
