/// \file
/// \brief Umbrella header of the endpoint module: which endpoints may get work, and what they load.
///
/// Contents:
///  - host_state, host_entry, host_list, usable_endpoint, endpoint_registry (endpoint/registry.hpp)
///  - lease_manager (endpoint/lease.hpp)
///  - desired_state, endpoint_report, order, order_controller (endpoint/orders.hpp)
///
/// \sa endpoint/GUIDE.md
#pragma once

#include <endivestage/endpoint/lease.hpp>
#include <endivestage/endpoint/orders.hpp>
#include <endivestage/endpoint/registry.hpp>
