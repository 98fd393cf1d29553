/// \file
/// \brief Umbrella header of the zone module: which availability zones are in service.
///
/// Contents:
///  - zone_state, zone_register, merge_registers (zone/register.hpp)
///  - zone_table, zone_action (zone/table.hpp)
///
/// \sa zone/GUIDE.md
#pragma once

#include <endivestage/zone/register.hpp>
#include <endivestage/zone/table.hpp>
