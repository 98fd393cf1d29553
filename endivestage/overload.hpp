/// \file
/// \brief Umbrella header of the overload module: which requests go on, wait or are refused when a
/// service has more work than its endpoints have room for.
///
/// Contents:
///  - service_admission (overload/service_admission.hpp): bound and waiting queue of a service
///  - waiting_order, delay_cost_order (overload/waiting_order.hpp): order of waiting requests
///  - served_shares (overload/served_shares.hpp): floors and fair shares
#pragma once

#include <endivestage/overload/served_shares.hpp>
#include <endivestage/overload/service_admission.hpp>
#include <endivestage/overload/waiting_order.hpp>
