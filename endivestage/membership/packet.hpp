/// \file
/// \brief Probe packets among routers and the gossip that they carry.
#pragma once

#include <cstdint>
#include <endivestage/core/error.hpp>
#include <endivestage/membership/member.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief What a router believes about another. Of two beliefs about the same run and the same
/// refutation count, the later of these states wins.
enum class member_state
{
    alive,
    suspect, ///< Did not answer; is declared dead unless it refutes in time.
    dead,
};

/// \returns "alive", "suspect" or "dead".
std::string_view to_string(member_state state);

/// \brief Gossip about one router.
struct member_update
{
    member who;
    member_state state = member_state::alive;
    /// Raised by the router itself to refute a suspicion; orders beliefs about one run.
    std::uint64_t refutation = 0;

    bool operator==(const member_update&) const = default;
};

/// \brief A small versioned value that every router should know; the highest version wins.
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
        ping_request, ///< Asks the receiver to ping \ref target and to pass the answer on.
        ack,          ///< Says that \ref target is alive.
    };

    kind type = kind::ping;
    std::uint64_t sequence = 0; ///< Chosen by the sender of the question, echoed by the ack.
    member from;                ///< The sender.
    router_id target;           ///< Subject of a ping_request or an ack.
    std::vector<member_update> updates;
    std::vector<announcement> announcements;

    bool operator==(const packet&) const = default;
};

/// \returns The packet as JSON text.
std::string encode_packet(const packet& value);

/// \returns The packet, or errc::invalid_request when the text is not a well-formed packet.
result<packet> decode_packet(std::string_view text);

} // namespace endivestage
