/// \file
/// \brief Load limit in whole requests.
#pragma once

#include <cstdint>

namespace endivestage
{

/// \brief Load limit of an engine at a multiple of its share of the pool's mean load.
/// \param mean Mean load of the pool in requests per unit of weight.
/// \param weight Capacity of the engine; positive.
/// \returns max(1, ceil(multiple x mean x weight)) requests.
std::uint32_t bounded_limit(double multiple, double mean, double weight);

} // namespace endivestage
