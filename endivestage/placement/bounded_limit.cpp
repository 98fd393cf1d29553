#include <endivestage/placement/bounded_limit.hpp>

#include <cassert>
#include <cmath>

namespace endivestage
{

std::uint32_t bounded_limit(double multiple, double mean, double weight)
{
    assert(weight > 0.0);
    // Without the subtraction, rounding errors could raise a whole product to the next integer, so
    // that 1.25 x 4 gave 6.
    const double limit = std::ceil(multiple * mean * weight - 1e-9);
    return limit < 1.0 ? 1U : static_cast<std::uint32_t>(limit);
}

} // namespace endivestage
