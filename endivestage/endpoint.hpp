/// \file
/// \brief Umbrella header of the endpoint module: which endpoints get work, and what they load.
///
/// Contents:
///  - host_state, host_entry, host_list (endpoint/registry.hpp): hosts of endpoints
///  - usable_endpoint, endpoint_registry (endpoint/registry.hpp): health of endpoints
///  - lease_manager (endpoint/lease.hpp): a lease in the table service
///  - desired_state, endpoint_report, order_controller (endpoint/orders.hpp): orders to load models
///
/// \sa endpoint/GUIDE.md
#pragma once

#include <endivestage/endpoint/lease.hpp>
#include <endivestage/endpoint/orders.hpp>
#include <endivestage/endpoint/registry.hpp>
