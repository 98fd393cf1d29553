/// \file
/// \brief Umbrella header of the ownership module: which router may issue permits for an endpoint.
///
/// The members of a region agree on a numbered view of the region's routers, which is stored in one
/// row of the table. Each endpoint has one owner among the members; only the owner issues permits.
/// Comments of this module refer to these rules:
///  - R1: an owner issues only while a majority of its witnesses, or a read of the row, has
///    confirmed its view within the confirmation window.
///  - R2: a witness confirms no view that is older than the newest view it has adopted.
///  - R3: a prepared view becomes active only after each affected member of the previous view has
///    acknowledged it, or after the member's witnesses have and the member's confirmation has
///    expired.
///  - R4: an endpoint that moves is issued by nobody while the view is preparing, and a new owner
///    starts only in an active view.
///  - R5: a holder uses a permit only within a limited time after it requested it, and not after it
///    has adopted a view in which another router or another run of it owns the endpoint.
///  - R6: a new owner issues only after it has rebuilt the count of outstanding permits.
///
/// Contents:
///  - view, view_state, encode_view, decode_view, view_key (ownership/view.hpp): the table row
///  - owner_of, owner_candidates, witnesses_of, aggregators_of (ownership/owner.hpp): the roles of
///    members
///  - view_agent, its messages and actions (ownership/view_agent.hpp, ownership/messages.hpp)
///  - permit_stamp, check_permit (ownership/permit_stamp.hpp): when a holder may use a permit
///  - owner_rebuild (ownership/owner_rebuild.hpp): recovery of the permit count by a new owner
#pragma once

#include <endivestage/ownership/messages.hpp>
#include <endivestage/ownership/owner.hpp>
#include <endivestage/ownership/owner_rebuild.hpp>
#include <endivestage/ownership/permit_stamp.hpp>
#include <endivestage/ownership/view.hpp>
#include <endivestage/ownership/view_agent.hpp>
