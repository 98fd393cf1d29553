/// \file
/// \brief Whole requests that a load bound allows.
#pragma once

#include <cstdint>

namespace endivestage
{

/// \returns max(1, ceil(multiple x mean x weight)), the whole requests that a multiple allows.
std::uint32_t bounded_limit(double multiple, double mean, double weight);

} // namespace endivestage
