/// \file
/// \brief SWIM failure detector with gossip on its probes.
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
    millis probe_interval{1000};        ///< One peer is probed in each period.
    millis probe_timeout{300};          ///< Direct probe without answer until indirect ones start.
    std::size_t indirect_probes = 3;    ///< Members asked to probe a peer that did not answer.
    double suspicion_intervals = 3.0;   ///< A suspicion lasts log2(n) plus this many periods.
    double gossip_factor = 3.0;         ///< Each item is sent about this times log2(n) times.
    std::size_t max_gossip_updates = 6; ///< Most member updates in one packet.
    std::size_t max_gossip_announcements = 6; ///< Most announcements in one packet.
    std::size_t max_gossip_bytes = 1100;      ///< Most bytes of encoded gossip in one packet.
    millis initial_hold_down{5000};   ///< First hold-down of a member that failed and returned.
    millis max_hold_down{300000};     ///< Hold-down doubles with each failure up to this.
    millis failure_count_ttl{600000}; ///< A member without failure for this long is trusted again.
    std::size_t max_join_probes = 8;  ///< Hosts never heard of that are probed in each period.
    /// One dead router is probed once in this many probe intervals.
    std::size_t intervals_per_dead_probe = 5;
    millis dead_retention{
        60000}; ///< A dead member is remembered, this long after it left the host list.
};

/// \brief A host of the platform's host list.
struct host_candidate
{
    member router; ///< Its incarnation is ignored: the host list does not contain incarnations.
};

/// \brief Action: send a datagram to a member.
struct send_packet
{
    member to;
    packet content;
};

/// \brief Action: the belief about a router changed. For records and for the view.
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

/// \brief What the embedding program must do.
using membership_action = std::variant<send_packet, member_changed, announcement_received>;

/// \brief Actions in the order in which they must be done.
using membership_actions = std::vector<membership_action>;

/// \brief Detects failed routers among those of the host list and spreads small announcements.
///
/// One per router; not thread-safe. Instants passed in must not decrease.
class failure_detector
{
public:
    /// \param self This router; its incarnation must be larger than in its earlier runs.
    /// \param random Order of probes; must outlive the detector.
    failure_detector(swim_config config, member self, random_source& random);
    failure_detector(failure_detector&&) noexcept;
    failure_detector& operator=(failure_detector&&) noexcept;
    ~failure_detector();

    /// \brief Probes, times out probes and suspicions. Call about every 50 ms.
    membership_actions tick(time_point now);

    /// \brief Takes a received datagram.
    membership_actions receive(const packet& content, time_point now);

    /// \brief Takes the platform's host list; hosts that it does not name are kept while they
    /// answer, since the list lags. `leaving` in it overrides what gossip says.
    membership_actions set_candidates(std::span<const host_candidate> hosts, time_point now);

    /// \brief Spreads a value to all routers; ignored when a version at least as high is known.
    void announce(announcement item);

    /// \brief Marks this router as leaving and spreads that.
    void leave();

    /// \returns The newest announcement with this key that is known.
    std::optional<announcement> find_announcement(std::string_view key) const;

    /// \brief Takes the members of an adopted view, which are believed alive until probes fail.
    ///
    /// A router that has just started learns its peers this way; call it before \ref live_members.
    membership_actions add_view_members(std::span<const member> members, time_point now);

    /// \brief The routers that should be members of a view, with this one, in order of their ids.
    ///
    /// These are the alive and suspect routers, except those in hold-down.
    /// \param in_view Members of the present view in order of their ids: hold-down delays joining
    /// only, so that routers which counted failures differently do not remove and add a member in
    /// turn.
    std::vector<member> live_members(time_point now, std::span<const member> in_view = {}) const;

    /// \returns The belief about a router; nothing when it is unknown or was never heard of.
    std::optional<member_update> find(const router_id& id) const;

    /// \returns This router with its present leaving flag.
    const member& self() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endivestage
