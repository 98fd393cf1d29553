/// \file
/// \brief Probe packets between routers and the gossip that they carry.
#pragma once

#include <cstdint>
#include <endivestage/core/error.hpp>
#include <endivestage/membership/member.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief State of a router as another router observes it.
///
/// Of two updates about the same run with the same refutation count, the one with the later
/// enumerator overrides the other.
enum class member_state
{
    alive,
    suspect, ///< Did not answer a probe; declared dead unless it refutes the suspicion in time.
    dead,
};

/// \returns "alive", "suspect" or "dead".
std::string_view to_string(member_state state);

/// \brief Gossip about the state of one router.
struct member_update
{
    member who; ///< Router that the update is about.
    member_state state = member_state::alive;
    /// Increased by the router itself to refute a suspicion; orders updates about the same run.
    std::uint64_t refutation = 0;

    bool operator==(const member_update&) const = default;
};

/// \brief A small versioned value that is replicated to all routers; the highest version wins.
struct announcement
{
    std::string key;
    std::string value; ///< Opaque to this module; at most 256 bytes.
    std::uint64_t version = 0;

    bool operator==(const announcement&) const = default;
};

/// \brief One UDP datagram of the failure detector.
struct packet
{
    enum class kind
    {
        ping,         ///< Asks the receiver to acknowledge.
        ping_request, ///< Asks the receiver to ping \ref target and to forward its ack.
        ack,          ///< Confirms that \ref target is alive.
    };

    kind type = kind::ping;
    std::uint64_t sequence = 0; ///< Chosen by the sender of a ping or ping_request, echoed by acks.
    member from;                ///< The sender.
    router_id target;           ///< Subject of a ping_request or an ack.
    std::vector<member_update> updates;
    std::vector<announcement> announcements;

    bool operator==(const packet&) const = default;
};

/// \returns The packet as JSON text.
std::string encode_packet(const packet& value);

/// \returns The decoded packet, or errc::invalid_request when the text is malformed.
result<packet> decode_packet(std::string_view text);

} // namespace endivestage
