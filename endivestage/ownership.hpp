/// \file
/// \brief Umbrella header of the ownership module: which router may issue permits for an engine.
///
/// Contents:
///  - view, view_state, encode_view, decode_view, view_key (ownership/view.hpp): the table row
///  - owner_of, owner_candidates, witnesses_of, aggregator_of (ownership/owner.hpp)
///  - view_agent, its messages and actions (ownership/view_agent.hpp, ownership/messages.hpp)
///  - permit_stamp, check_permit (ownership/permit_stamp.hpp): when a holder may use a permit
///  - owner_rebuild (ownership/owner_rebuild.hpp): what a new owner must learn before it issues
#pragma once

#include <endivestage/ownership/messages.hpp>
#include <endivestage/ownership/owner.hpp>
#include <endivestage/ownership/owner_rebuild.hpp>
#include <endivestage/ownership/permit_stamp.hpp>
#include <endivestage/ownership/view.hpp>
#include <endivestage/ownership/view_agent.hpp>
