#include <endivestage/membership/failure_detector.hpp>

#include <cassert>
#include <cmath>
#include <endivestage/membership/internal/gossip_queue.hpp>
#include <endivestage/membership/internal/peer.hpp>
#include <map>
#include <utility>

namespace endivestage
{

using internal::overrides;
using internal::peer;

namespace
{

// Estimate of the encoded size in bytes, without encoding. fixed_size covers the field names and
// numbers.
std::size_t encoded_size(const member_update& update)
{
    constexpr std::size_t fixed_size = 150;
    return fixed_size + update.who.id.str().size() + update.who.zone.str().size() +
           update.who.host.size();
}

std::size_t encoded_size(const announcement& item)
{
    constexpr std::size_t fixed_size = 50;
    return fixed_size + item.key.size() + item.value.size();
}

// A probe of a peer by this router.
struct probe
{
    router_id target;
    std::uint64_t sequence = 0;
    time_point started;
    bool indirect = false;
    bool answered = false;
};

// A ping that this router sent on behalf of another router.
struct relayed_probe
{
    member requester;
    std::uint64_t sequence = 0; ///< Of the requester's ping_request.
    time_point expires;
};

} // namespace

struct failure_detector::impl
{
    impl(swim_config settings, member router, random_source& source)
        : config(settings),
          self(std::move(router)),
          random(source)
    {
    }

    std::size_t present_peer_count() const;
    double log2_member_count() const
    {
        return std::log2(static_cast<double>(present_peer_count() + 1));
    }
    std::size_t max_transmissions() const;
    millis suspicion_timeout() const;

    void apply_update(const member_update& update, time_point now, membership_actions& actions);
    void refute_suspicion(const member_update& update);
    void replace_record(peer& it, const member_update& update, time_point now,
                        membership_actions& actions);
    void apply_announcement(const announcement& item, membership_actions& actions);
    void mark_leaving(peer& it, membership_actions& actions);
    void handle_ack(const packet& content, time_point now, membership_actions& actions);

    void compensate_pause(time_point now);
    void expire_suspicions(time_point now, membership_actions& actions);
    void remove_expired(time_point now);
    void advance_probe(time_point now, membership_actions& actions);
    void probe_indirectly(probe& unanswered, membership_actions& actions);
    void suspect_probe_target(const probe& unanswered, time_point now, membership_actions& actions);
    void start_extra_probes(time_point now, membership_actions& actions);
    void advance_extra_probes(time_point now, membership_actions& actions);
    bool is_probed(const router_id& id) const;
    void start_next_probe(time_point now, membership_actions& actions);
    void probe_absent_peers(time_point now, membership_actions& actions);
    std::optional<router_id> next_target();
    void shuffle(std::vector<router_id>& ids);

    void send(packet::kind type, std::uint64_t number, const member& to, const router_id& target,
              membership_actions& actions);
    void add_updates(packet& content, const member& to);
    void add_announcements(packet& content, std::size_t remaining_bytes);
    bool add_update(packet& content, const router_id& id, std::size_t& remaining_bytes);
    member_update self_update() const { return {self, member_state::alive, refutation}; }

    swim_config config;
    member self;
    std::uint64_t refutation = 0;
    random_source& random;

    std::map<router_id, peer> peers;
    std::map<std::string, announcement> announcements;
    internal::gossip_queue update_queue;
    internal::gossip_queue announcement_queue;
    std::string last_repeated_update;       ///< Key of the update repeated last.
    std::string last_repeated_announcement; ///< Key of the announcement repeated last.

    std::optional<time_point> last_tick;
    std::optional<probe> current_probe;
    std::vector<probe> extra_probes;
    time_point extra_probes_since;      ///< Start of the present series of extra probes.
    time_point last_received{-1};       ///< When any packet arrived last.
    std::vector<router_id> probe_round; ///< Peers not yet probed in this round.
    std::uint64_t sequence = 0;
    std::uint64_t interval_count = 0;
    std::map<std::uint64_t, relayed_probe> relayed_probes;
};

std::size_t failure_detector::impl::present_peer_count() const
{
    return static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.end(), [](const auto& it) { return it.second.present(); }));
}

std::size_t failure_detector::impl::max_transmissions() const
{
    return static_cast<std::size_t>(
        std::ceil(config.gossip_factor * std::max(1.0, log2_member_count())));
}

millis failure_detector::impl::suspicion_timeout() const
{
    const double intervals = log2_member_count() + config.suspicion_intervals;
    return {
        static_cast<std::int64_t>(intervals * static_cast<double>(config.probe_interval.count))};
}

void failure_detector::impl::apply_update(const member_update& update, time_point now,
                                          membership_actions& actions)
{
    if (update.who.id == self.id)
    {
        refute_suspicion(update);
        return;
    }
    const auto [it, inserted] = peers.try_emplace(update.who.id);
    peer& known = it->second;
    if (inserted)
    {
        known.record.who.id = update.who.id;
        known.state_since = now;
    }
    const bool is_first_observation = !known.observed && update.state != member_state::dead;
    const bool starts_leaving = update.who.leaving && !known.record.who.leaving &&
                                update.who.incarnation == known.record.who.incarnation;
    if (is_first_observation || overrides(update, known.record))
    {
        replace_record(known, update, now, actions);
    }
    else if (starts_leaving && known.observed)
    {
        mark_leaving(known, actions);
    }
}

void failure_detector::impl::refute_suspicion(const member_update& update)
{
    const bool suspected = update.state != member_state::alive &&
                           update.who.incarnation == self.incarnation &&
                           update.refutation >= refutation;
    if (suspected)
    {
        refutation = update.refutation + 1;
        update_queue.add(self.id.str());
    }
}

void failure_detector::impl::replace_record(peer& it, const member_update& update, time_point now,
                                            membership_actions& actions)
{
    const bool was_present = it.present();
    const bool was_leaving = it.record.who.leaving;
    const bool is_same_run = it.observed && same_run(it.record.who, update.who);
    const member_state previous = it.record.state;
    it.record = update;
    it.observed = true;
    it.record.who.leaving = update.who.leaving || it.listed_leaving || (is_same_run && was_leaving);
    if (!is_same_run || previous != update.state)
    {
        it.state_since = now;
        it.warned = false;
    }
    const bool died = update.state == member_state::dead && previous != member_state::dead;
    if (was_present && !was_leaving && (died || !is_same_run))
    {
        it.record_failure(config, now);
    }
    update_queue.add(update.who.id.str());
    actions.emplace_back(member_changed{it.record.who, it.record.state});
}

void failure_detector::impl::mark_leaving(peer& it, membership_actions& actions)
{
    it.record.who.leaving = true;
    update_queue.add(it.record.who.id.str());
    actions.emplace_back(member_changed{it.record.who, it.record.state});
}

void failure_detector::impl::apply_announcement(const announcement& item,
                                                membership_actions& actions)
{
    const auto [it, inserted] = announcements.try_emplace(item.key, item);
    if (!inserted && it->second.version >= item.version)
    {
        return;
    }
    it->second = item;
    announcement_queue.add(item.key);
    actions.emplace_back(announcement_received{item});
}

void failure_detector::impl::handle_ack(const packet& content, time_point now,
                                        membership_actions& actions)
{
    if (current_probe && current_probe->sequence == content.sequence &&
        current_probe->target == content.target)
    {
        current_probe->answered = true;
        return;
    }
    for (probe& extra : extra_probes)
    {
        if (extra.sequence == content.sequence && extra.target == content.target)
        {
            extra.answered = true;
            return;
        }
    }
    const auto it = relayed_probes.find(content.sequence);
    if (it != relayed_probes.end() && now <= it->second.expires)
    {
        send(packet::kind::ack, it->second.sequence, it->second.requester, content.target, actions);
        relayed_probes.erase(it);
    }
}

// Shifts the start of the current probe and of all suspicions by a pause of this process: packets
// that arrived during the pause are still unread, so a missing ack is no evidence against a peer.
void failure_detector::impl::compensate_pause(time_point now)
{
    const millis gap = last_tick ? now - *last_tick : millis{0};
    last_tick = now;
    if (gap <= config.probe_timeout)
    {
        return;
    }
    if (current_probe)
    {
        current_probe->started = current_probe->started + gap;
    }
    for (probe& extra : extra_probes)
    {
        extra.started = extra.started + gap;
    }
    for (auto& [id, it] : peers)
    {
        it.state_since =
            it.record.state == member_state::suspect ? it.state_since + gap : it.state_since;
    }
}

void failure_detector::impl::expire_suspicions(time_point now, membership_actions& actions)
{
    const millis limit = suspicion_timeout();
    for (auto& [id, it] : peers)
    {
        if (it.record.state == member_state::suspect && now - it.state_since >= limit)
        {
            member_update dead = it.record;
            dead.state = member_state::dead;
            replace_record(it, dead, now, actions);
        }
        else if (it.record.state == member_state::suspect && !it.warned &&
                 now - it.state_since >= limit * 3 / 4)
        {
            // A suspect that nobody has happened to probe does not know that it must refute.
            it.warned = true;
            send(packet::kind::ping, ++sequence, it.record.who, id, actions);
        }
    }
}

void failure_detector::impl::remove_expired(time_point now)
{
    for (auto it = peers.begin(); it != peers.end();)
    {
        const peer& known = it->second;
        const bool is_expired = now - known.state_since >= config.dead_retention;
        const bool is_removable =
            !known.listed && !known.present() && (!known.observed || is_expired);
        if (is_removable)
        {
            update_queue.remove(it->first.str());
        }
        it = is_removable ? peers.erase(it) : std::next(it);
    }
    std::erase_if(relayed_probes, [&](const auto& it) { return it.second.expires < now; });
}

void failure_detector::impl::advance_probe(time_point now, membership_actions& actions)
{
    if (current_probe && !current_probe->answered && !current_probe->indirect &&
        now - current_probe->started >= config.probe_timeout)
    {
        probe_indirectly(*current_probe, actions);
    }
    advance_extra_probes(now, actions);
    if (!current_probe || now - current_probe->started >= config.probe_interval)
    {
        if (current_probe && !current_probe->answered)
        {
            suspect_probe_target(*current_probe, now, actions);
            start_extra_probes(now, actions);
        }
        start_next_probe(now, actions);
    }
}

bool failure_detector::impl::is_probed(const router_id& id) const
{
    return (current_probe && current_probe->target == id) ||
           std::any_of(extra_probes.begin(), extra_probes.end(),
                       [&](const probe& extra) { return extra.target == id; });
}

// Suspected peers need no further probe.
void failure_detector::impl::start_extra_probes(time_point now, membership_actions& actions)
{
    std::vector<router_id> targets;
    for (const auto& [id, it] : peers)
    {
        if (it.observed && it.record.state == member_state::alive && !is_probed(id))
        {
            targets.push_back(id);
        }
    }
    shuffle(targets);
    const std::size_t room = config.max_extra_probes - extra_probes.size();
    targets.resize(std::min({targets.size(), config.extra_probes, room}));
    extra_probes_since = extra_probes.empty() ? now : extra_probes_since;
    for (const router_id& id : targets)
    {
        extra_probes.push_back({id, ++sequence, now});
        send(packet::kind::ping, sequence, peers[id].record.who, id, actions);
    }
}

// Without any packet since the extra probes began, this router's own link may be cut. Peers that
// were probed then are not suspected, since they would all have to be found again afterwards.
void failure_detector::impl::advance_extra_probes(time_point now, membership_actions& actions)
{
    std::size_t unanswered_count = 0;
    for (probe& extra : extra_probes)
    {
        if (!extra.answered && !extra.indirect && now - extra.started >= config.probe_timeout)
        {
            ++unanswered_count;
            probe_indirectly(extra, actions);
        }
        else if (!extra.answered && now - extra.started >= config.probe_interval &&
                 last_received >= extra_probes_since)
        {
            suspect_probe_target(extra, now, actions);
        }
    }
    std::erase_if(extra_probes, [&](const probe& extra)
                  { return extra.answered || now - extra.started >= config.probe_interval; });
    for (std::size_t n = 0; n < unanswered_count; ++n)
    {
        start_extra_probes(now, actions);
    }
}

void failure_detector::impl::probe_indirectly(probe& unanswered, membership_actions& actions)
{
    unanswered.indirect = true;
    std::vector<router_id> helpers;
    for (const auto& [id, it] : peers)
    {
        if (it.present() && it.record.state == member_state::alive && id != unanswered.target)
        {
            helpers.push_back(id);
        }
    }
    shuffle(helpers);
    helpers.resize(std::min(helpers.size(), config.indirect_probes));
    for (const router_id& id : helpers)
    {
        send(packet::kind::ping_request, unanswered.sequence, peers[id].record.who,
             unanswered.target, actions);
    }
}

void failure_detector::impl::suspect_probe_target(const probe& unanswered, time_point now,
                                                  membership_actions& actions)
{
    const auto it = peers.find(unanswered.target);
    if (it != peers.end() && it->second.observed && it->second.record.state == member_state::alive)
    {
        member_update suspect = it->second.record;
        suspect.state = member_state::suspect;
        replace_record(it->second, suspect, now, actions);
    }
}

void failure_detector::impl::start_next_probe(time_point now, membership_actions& actions)
{
    ++interval_count;
    probe_absent_peers(now, actions);
    current_probe.reset();
    if (const std::optional<router_id> target = next_target())
    {
        current_probe = probe{*target, ++sequence, now};
        send(packet::kind::ping, sequence, peers[*target].record.who, *target, actions);
    }
    else
    {
        // There is no peer to probe: a probe that counts as answered starts the next interval.
        current_probe = probe{{}, 0, now, true, true};
    }
}

// Probes hosts that were never observed, and dead routers, which may have been on the other side of
// a partition that has healed.
void failure_detector::impl::probe_absent_peers(time_point /*now*/, membership_actions& actions)
{
    std::vector<router_id> unobserved;
    std::vector<router_id> dead;
    for (const auto& [id, it] : peers)
    {
        if (!it.present())
        {
            (it.observed ? dead : unobserved).push_back(id);
        }
    }
    shuffle(unobserved);
    shuffle(dead);
    unobserved.resize(std::min(unobserved.size(), config.max_join_probes));
    if (!dead.empty() && interval_count % config.intervals_per_dead_probe == 0)
    {
        unobserved.push_back(dead.front());
    }
    for (const router_id& id : unobserved)
    {
        send(packet::kind::ping, ++sequence, peers[id].record.who, id, actions);
    }
}

// Every present peer is probed once per round, in an order that is shuffled for each round, so that
// detection takes at most two rounds.
std::optional<router_id> failure_detector::impl::next_target()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!probe_round.empty())
        {
            const router_id id = probe_round.back();
            probe_round.pop_back();
            const auto it = peers.find(id);
            if (it != peers.end() && it->second.present())
            {
                return id;
            }
        }
        for (const auto& [id, it] : peers)
        {
            probe_round.push_back(id);
        }
        shuffle(probe_round);
    }
    return std::nullopt;
}

void failure_detector::impl::shuffle(std::vector<router_id>& ids)
{
    for (std::size_t n = ids.size(); n > 1; --n)
    {
        std::swap(ids[n - 1], ids[random.below(n)]);
    }
}

void failure_detector::impl::send(packet::kind type, std::uint64_t number, const member& to,
                                  const router_id& target, membership_actions& actions)
{
    packet content{type, number, self, target, {}, {}};
    add_updates(content, to);
    actions.emplace_back(send_packet{to, std::move(content)});
}

bool failure_detector::impl::add_update(packet& content, const router_id& id,
                                        std::size_t& remaining_bytes)
{
    const auto it = peers.find(id);
    const bool is_self = id == self.id;
    if (!is_self && (it == peers.end() || !it->second.observed))
    {
        return false;
    }
    const member_update update = is_self ? self_update() : it->second.record;
    const std::size_t size = encoded_size(update);
    const bool fits = size <= remaining_bytes && content.updates.size() < config.max_gossip_updates;
    if (fits &&
        std::find(content.updates.begin(), content.updates.end(), update) == content.updates.end())
    {
        content.updates.push_back(update);
        remaining_bytes -= size;
    }
    return fits;
}

void failure_detector::impl::add_updates(packet& content, const member& to)
{
    std::size_t remaining_bytes = config.max_gossip_bytes;
    const auto receiver = peers.find(to.id);
    if (receiver != peers.end() && receiver->second.record.state != member_state::alive)
    {
        // The receiver can refute a suspicion only after receiving it.
        add_update(content, to.id, remaining_bytes);
    }
    // Half of the bytes are reserved for announcements.
    remaining_bytes -= std::min(remaining_bytes, config.max_gossip_bytes / 2);
    for (const std::string& key : update_queue.next_keys(config.max_gossip_updates))
    {
        if (add_update(content, router_id(key), remaining_bytes))
        {
            update_queue.record_sent(key, max_transmissions());
        }
    }
    // Repeats one peer record per packet in turn, which repairs losses of the bounded gossip.
    const auto next = peers.upper_bound(router_id(last_repeated_update));
    const auto it = next == peers.end() ? peers.begin() : next;
    if (it != peers.end())
    {
        last_repeated_update = it->first.str();
        add_update(content, it->first, remaining_bytes);
    }
    add_announcements(content, remaining_bytes + config.max_gossip_bytes / 2);
}

void failure_detector::impl::add_announcements(packet& content, std::size_t remaining_bytes)
{
    std::vector<std::string> keys = announcement_queue.next_keys(config.max_gossip_announcements);
    const std::size_t queued_count = keys.size();
    const auto next = announcements.upper_bound(last_repeated_announcement);
    const auto it = next == announcements.end() ? announcements.begin() : next;
    if (it != announcements.end() && queued_count < config.max_gossip_announcements &&
        std::find(keys.begin(), keys.end(), it->first) == keys.end())
    {
        last_repeated_announcement = it->first;
        keys.push_back(it->first);
    }
    for (std::size_t n = 0; n < keys.size(); ++n)
    {
        const announcement& item = announcements.at(keys[n]);
        const std::size_t size = encoded_size(item);
        if (size > remaining_bytes)
        {
            continue;
        }
        remaining_bytes -= size;
        content.announcements.push_back(item);
        if (n < queued_count)
        {
            announcement_queue.record_sent(keys[n], max_transmissions());
        }
    }
}

failure_detector::failure_detector(swim_config config, member self, random_source& random)
    : impl_(std::make_unique<impl>(config, std::move(self), random))
{
    assert(config.probe_interval > config.probe_timeout);
    impl_->update_queue.add(impl_->self.id.str());
}

failure_detector::failure_detector(failure_detector&&) noexcept = default;
failure_detector& failure_detector::operator=(failure_detector&&) noexcept = default;
failure_detector::~failure_detector() = default;

membership_actions failure_detector::tick(time_point now)
{
    membership_actions actions;
    impl_->compensate_pause(now);
    impl_->expire_suspicions(now, actions);
    impl_->advance_probe(now, actions);
    impl_->remove_expired(now);
    return actions;
}

membership_actions failure_detector::receive(const packet& content, time_point now)
{
    membership_actions actions;
    if (content.from.id == impl_->self.id)
    {
        return actions;
    }
    impl_->last_received = now;
    // The packet shows that the sender is alive. This does not end a suspicion, which the sender
    // must refute.
    impl_->apply_update({content.from, member_state::alive, 0}, now, actions);
    for (const member_update& update : content.updates)
    {
        impl_->apply_update(update, now, actions);
    }
    for (const announcement& item : content.announcements)
    {
        impl_->apply_announcement(item, actions);
    }
    if (content.type == packet::kind::ping)
    {
        impl_->send(packet::kind::ack, content.sequence, content.from, impl_->self.id, actions);
    }
    else if (content.type == packet::kind::ack)
    {
        impl_->handle_ack(content, now, actions);
    }
    else if (const auto it = impl_->peers.find(content.target); it != impl_->peers.end())
    {
        const std::uint64_t number = ++impl_->sequence;
        impl_->relayed_probes[number] = {content.from, content.sequence,
                                         now + impl_->config.probe_interval};
        impl_->send(packet::kind::ping, number, it->second.record.who, content.target, actions);
    }
    return actions;
}

membership_actions failure_detector::set_candidates(std::span<const host_candidate> hosts,
                                                    time_point now)
{
    membership_actions actions;
    for (auto& [id, it] : impl_->peers)
    {
        it.listed = false;
        it.listed_leaving = false;
    }
    for (const host_candidate& host : hosts)
    {
        if (host.router.id == impl_->self.id)
        {
            if (host.router.leaving)
            {
                leave();
            }
            continue;
        }
        const auto [it, inserted] = impl_->peers.try_emplace(host.router.id);
        if (inserted)
        {
            it->second.record.who = host.router;
            it->second.record.who.incarnation = 0;
            it->second.state_since = now;
        }
        it->second.listed = true;
        it->second.listed_leaving = host.router.leaving;
        if (host.router.leaving && !it->second.record.who.leaving && it->second.observed)
        {
            impl_->mark_leaving(it->second, actions);
        }
    }
    return actions;
}

membership_actions failure_detector::add_view_members(std::span<const member> members,
                                                      time_point now)
{
    membership_actions actions;
    for (const member& it : members)
    {
        impl_->apply_update({it, member_state::alive, 0}, now, actions);
    }
    return actions;
}

void failure_detector::announce(announcement item)
{
    membership_actions ignored; // The caller already has the item.
    const auto it = impl_->announcements.find(item.key);
    if (it == impl_->announcements.end())
    {
        impl_->announcement_queue.add(item.key);
        impl_->announcements.emplace(item.key, std::move(item));
        return;
    }
    impl_->apply_announcement(item, ignored);
}

void failure_detector::leave()
{
    if (!impl_->self.leaving)
    {
        impl_->self.leaving = true;
        impl_->update_queue.add(impl_->self.id.str());
    }
}

std::optional<announcement> failure_detector::find_announcement(std::string_view key) const
{
    const auto it = impl_->announcements.find(std::string(key));
    if (it == impl_->announcements.end())
    {
        return std::nullopt;
    }
    return it->second;
}

std::vector<member> failure_detector::live_members(time_point now,
                                                   std::span<const member> in_view) const
{
    std::vector<member> members{impl_->self};
    for (const auto& [id, it] : impl_->peers)
    {
        const auto position =
            std::lower_bound(in_view.begin(), in_view.end(), id,
                             [](const member& a, const router_id& b) { return a.id < b; });
        const bool is_in_view = position != in_view.end() && same_run(*position, it.record.who);
        const bool is_held_down = it.hold_down_until && now < *it.hold_down_until;
        if (it.present() && (is_in_view || !is_held_down))
        {
            members.push_back(it.record.who);
        }
    }
    std::sort(members.begin(), members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    return members;
}

std::optional<member_update> failure_detector::find(const router_id& id) const
{
    const auto it = impl_->peers.find(id);
    if (it == impl_->peers.end() || !it->second.observed)
    {
        return std::nullopt;
    }
    return it->second.record;
}

const member& failure_detector::self() const
{
    return impl_->self;
}

} // namespace endivestage
