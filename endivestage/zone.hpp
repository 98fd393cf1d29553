/// \file
/// \brief Umbrella header of the zone module: which availability zones are in service.
///
/// Contents:
///  - zone_state, zone_register, merge_registers (zone/register.hpp): register of one zone
///  - zone_table, zone_action (zone/table.hpp): registers of all zones
///
/// \sa zone/GUIDE.md
#pragma once

#include <endivestage/zone/register.hpp>
#include <endivestage/zone/table.hpp>
