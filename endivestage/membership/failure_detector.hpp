/// \file
/// \brief SWIM failure detector; its probe packets carry gossip.
#pragma once

#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/random.hpp>
#include <endivestage/membership/member.hpp>
#include <endivestage/membership/packet.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief Settings of the failure detector; equal on all routers of a region.
struct swim_config
{
    millis probe_interval{1000};     ///< One peer is probed per interval.
    millis probe_timeout{300};       ///< Wait for a direct ack before probing indirectly.
    std::size_t indirect_probes = 3; ///< Members asked to probe an unresponsive peer.
    /// Further peers probed at once when a peer becomes suspect, and again for each of these probes
    /// that is not answered within the timeout. When many routers fail together, the few that are
    /// left would otherwise need an interval for each of them.
    std::size_t extra_probes = 3;
    std::size_t max_extra_probes = 96;  ///< Open at the same time; about a packet each.
    double suspicion_intervals = 3.0;   ///< A suspicion lasts log2(n) plus this many intervals.
    double gossip_factor = 3.0;         ///< Each item is sent about this times log2(n) times.
    std::size_t max_gossip_updates = 6; ///< Per packet.
    std::size_t max_gossip_announcements = 6; ///< Per packet.
    std::size_t max_gossip_bytes = 1100;      ///< Of encoded gossip per packet.
    millis initial_hold_down{5000};           ///< Hold-down after the second recent failure.
    millis max_hold_down{300000};             ///< Hold-down doubles with each failure up to this.
    millis failure_count_ttl{600000}; ///< Without a failure for this long, the count restarts.
    std::size_t max_join_probes = 8;  ///< Unobserved hosts probed per interval.
    /// One dead router is probed once in this many probe intervals.
    std::size_t intervals_per_dead_probe = 5;
    /// Minimum time for which a dead member is kept; it is removed only once it has left the host
    /// list.
    millis dead_retention{60000};
};

/// \brief An entry of the platform's host list.
struct host_candidate
{
    member router; ///< Its incarnation is ignored: the host list does not contain incarnations.
};

/// \brief Action: send this packet to a member as a datagram.
struct send_packet
{
    member to;
    packet content;
};

/// \brief Action: the observed state of a router changed; for event records and the view.
struct member_changed
{
    member router;
    member_state state = member_state::alive;
};

/// \brief Action: a newer version of an announcement was received.
struct announcement_received
{
    announcement item;
};

/// \brief An action that the embedding program must carry out.
using membership_action = std::variant<send_packet, member_changed, announcement_received>;

/// \brief Actions in the order in which they must be carried out.
using membership_actions = std::vector<membership_action>;

/// \brief Detects failures of the routers in the host list and gossips small announcements.
///
/// There is one detector per router. It is not thread-safe. The instants passed in must not
/// decrease.
class failure_detector
{
public:
    /// \param self This router; its incarnation must be larger than in its earlier runs.
    /// \param random Randomizes the order of probes; must outlive the detector.
    failure_detector(swim_config config, member self, random_source& random);
    failure_detector(failure_detector&&) noexcept;
    failure_detector& operator=(failure_detector&&) noexcept;
    ~failure_detector();

    /// \brief Sends probes and expires probes and suspicions. Call about every 50 ms.
    membership_actions tick(time_point now);

    /// \brief Processes a received packet.
    membership_actions receive(const packet& content, time_point now);

    /// \brief Applies the platform's host list.
    ///
    /// Hosts that are missing from the list are kept while they answer, since the list lags. A
    /// `leaving` mark in the list overrides gossip.
    membership_actions set_candidates(std::span<const host_candidate> hosts, time_point now);

    /// \brief Gossips a value to all routers; ignored when the stored version is at least as high.
    void announce(announcement item);

    /// \brief Marks this router as leaving and gossips the mark.
    void leave();

    /// \returns The newest known announcement with this key; nothing when there is none.
    std::optional<announcement> find_announcement(std::string_view key) const;

    /// \brief Adds the members of an adopted view, which count as alive until probes fail.
    ///
    /// A router that has just started gets its peers this way; call it before \ref live_members.
    membership_actions add_view_members(std::span<const member> members, time_point now);

    /// \brief Routers that should be members of a view, including this one.
    ///
    /// These are the alive and suspect routers, except those in hold-down.
    /// \param in_view Members of the present view in order of their ids. Hold-down does not apply
    /// to them but only delays joining; otherwise routers with different failure counts would
    /// remove and add the same member in turn.
    /// \returns The members in order of their ids.
    std::vector<member> live_members(time_point now, std::span<const member> in_view = {}) const;

    /// \returns The observed state of a router; nothing when it is unknown or was never observed.
    std::optional<member_update> find(const router_id& id) const;

    /// \returns This router, with its present leaving flag.
    const member& self() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endivestage
