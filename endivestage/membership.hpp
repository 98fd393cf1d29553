/// \file
/// \brief Umbrella header of the membership module: failure detection among routers (SWIM).
///
/// Contents:
///  - member (membership/member.hpp): a router as the other routers know it
///  - member_state, member_update, announcement, packet, encode_packet, decode_packet
///    (membership/packet.hpp): probe packets and the gossip on them
///  - swim_config, failure_detector and its actions (membership/failure_detector.hpp)
///  - broadcast_children (membership/broadcast.hpp): push tree over the members
#pragma once

#include <endivestage/membership/broadcast.hpp>
#include <endivestage/membership/failure_detector.hpp>
#include <endivestage/membership/member.hpp>
#include <endivestage/membership/packet.hpp>
