/// \file
/// \brief Umbrella header of the membership module: failure detection among routers (SWIM).
///
/// Contents:
///  - member (membership/member.hpp): identity and addresses of a router process
///  - member_state, member_update, announcement, packet, encode_packet, decode_packet
///    (membership/packet.hpp): probe packets and the gossip on them
///  - swim_config, failure_detector and its actions (membership/failure_detector.hpp)
///  - broadcast_children (membership/broadcast.hpp): broadcast tree over the members of a view
#pragma once

#include <endivestage/membership/broadcast.hpp>
#include <endivestage/membership/failure_detector.hpp>
#include <endivestage/membership/member.hpp>
#include <endivestage/membership/packet.hpp>
