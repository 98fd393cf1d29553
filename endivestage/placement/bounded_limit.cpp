#include <endivestage/placement/bounded_limit.hpp>

#include <cassert>
#include <cmath>

namespace endivestage
{

std::uint32_t bounded_limit(double multiple, double mean, double weight)
{
    assert(weight > 0.0);
    // The subtraction keeps rounding errors from turning 1.25 x 4 into 6.
    const double whole = std::ceil(multiple * mean * weight - 1e-9);
    return whole < 1.0 ? 1U : static_cast<std::uint32_t>(whole);
}

} // namespace endivestage
