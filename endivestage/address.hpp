/// \file
/// \brief Umbrella header of the address module: router addresses for callers, and planned stops.
///
/// Contents:
///  - router_status, address_query, address_answer, make_address_answer (address/answer.hpp):
///    which routers a caller may use
///  - stop_step, stop_action, planned_stop (address/planned_stop.hpp): planned stop of a router
///
/// \sa address/GUIDE.md
#pragma once

#include <endivestage/address/answer.hpp>
#include <endivestage/address/planned_stop.hpp>
