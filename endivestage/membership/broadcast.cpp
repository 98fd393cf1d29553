#include <endivestage/membership/broadcast.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

std::size_t position(std::span<const member> members, const router_id& id)
{
    const auto it =
        std::find_if(members.begin(), members.end(), [&](const member& it) { return it.id == id; });
    return static_cast<std::size_t>(it - members.begin());
}

} // namespace

std::vector<member> broadcast_children(std::span<const member> members, const router_id& origin,
                                       const router_id& self, std::size_t fan_out)
{
    assert(fan_out > 0);
    const std::size_t n = members.size();
    const std::size_t root = position(members, origin);
    const std::size_t own = position(members, self);
    std::vector<member> children;
    if (root == n || own == n)
    {
        return children;
    }
    const std::size_t first = (own + n - root) % n * fan_out + 1;
    for (std::size_t child = first; child < std::min(n, first + fan_out); ++child)
    {
        children.push_back(members[(root + child) % n]);
    }
    return children;
}

} // namespace endivestage
