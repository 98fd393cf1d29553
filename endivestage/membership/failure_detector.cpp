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

// Estimated bytes of the encoded form, without encoding.
std::size_t encoded_size(const member_update& update)
{
    constexpr std::size_t names_and_numbers = 150;
    return names_and_numbers + update.who.id.str().size() + update.who.zone.str().size() +
           update.who.host.size();
}

std::size_t encoded_size(const announcement& item)
{
    constexpr std::size_t names_and_numbers = 50;
    return names_and_numbers + item.key.size() + item.value.size();
}

// One probe of a peer.
struct probe
{
    router_id target;
    std::uint64_t sequence = 0;
    time_point started;
    bool indirect = false;
    bool answered = false;
};

// A probe on behalf of another router.
struct relayed_probe
{
    member asker;
    std::uint64_t sequence = 0; ///< The asker's.
    time_point expires;
};

} // namespace

struct failure_detector::impl
{
    impl(swim_config settings, member who, random_source& source)
        : config(settings),
          self(std::move(who)),
          random(source)
    {
    }

    std::size_t present_count() const;
    double log_count() const { return std::log2(static_cast<double>(present_count() + 1)); }
    std::size_t transmissions() const;
    millis suspicion() const;

    void take_update(const member_update& update, time_point now, membership_actions& actions);
    void take_self(const member_update& update);
    void take_news(peer& it, const member_update& update, time_point now,
                   membership_actions& actions);
    void take_announcement(const announcement& item, membership_actions& actions);
    void take_leaving(peer& it, membership_actions& actions);
    void note_ack(const packet& content, time_point now, membership_actions& actions);

    void absorb_pause(time_point now);
    void expire_suspicions(time_point now, membership_actions& actions);
    void forget(time_point now);
    void run_probe(time_point now, membership_actions& actions);
    void probe_indirectly(membership_actions& actions);
    void fail_probe(time_point now, membership_actions& actions);
    void next_probe(time_point now, membership_actions& actions);
    void probe_absent(time_point now, membership_actions& actions);
    std::optional<router_id> next_target();
    void shuffle(std::vector<router_id>& ids);

    void send(packet::kind what, std::uint64_t sequence, const member& to, const router_id& target,
              membership_actions& actions);
    void add_updates(packet& content, const member& to);
    void add_announcements(packet& content, std::size_t room);
    bool add_update(packet& content, const router_id& id, std::size_t& room);
    member_update own_update() const { return {self, member_state::alive, refutation}; }

    swim_config config;
    member self;
    std::uint64_t refutation = 0;
    random_source& random;

    std::map<router_id, peer> peers;
    std::map<std::string, announcement> announcements;
    internal::gossip_queue update_queue;
    internal::gossip_queue announcement_queue;
    std::string last_update;       ///< Position of the repetition of known updates.
    std::string last_announcement; ///< Position of the repetition of known announcements.

    std::optional<time_point> last_tick;
    std::optional<probe> current;
    std::vector<router_id> round; ///< Peers still to probe in this round.
    std::uint64_t sequence = 0;
    std::uint64_t periods = 0;
    std::map<std::uint64_t, relayed_probe> relayed;
};

std::size_t failure_detector::impl::present_count() const
{
    return static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.end(), [](const auto& it) { return it.second.present(); }));
}

std::size_t failure_detector::impl::transmissions() const
{
    return static_cast<std::size_t>(std::ceil(config.gossip_factor * std::max(1.0, log_count())));
}

millis failure_detector::impl::suspicion() const
{
    const double periods_long = log_count() + config.suspicion_intervals;
    return {
        static_cast<std::int64_t>(periods_long * static_cast<double>(config.probe_interval.count))};
}

void failure_detector::impl::take_update(const member_update& update, time_point now,
                                         membership_actions& actions)
{
    if (update.who.id == self.id)
    {
        take_self(update);
        return;
    }
    const auto [it, inserted] = peers.try_emplace(update.who.id);
    peer& known = it->second;
    if (inserted)
    {
        known.belief.who.id = update.who.id;
        known.since = now;
    }
    const bool first = !known.heard && update.state != member_state::dead;
    const bool leaves = update.who.leaving && !known.belief.who.leaving &&
                        update.who.incarnation == known.belief.who.incarnation;
    if (first || overrides(update, known.belief))
    {
        take_news(known, update, now, actions);
    }
    else if (leaves && known.heard)
    {
        take_leaving(known, actions);
    }
}

void failure_detector::impl::take_self(const member_update& update)
{
    const bool doubted = update.state != member_state::alive &&
                         update.who.incarnation == self.incarnation &&
                         update.refutation >= refutation;
    if (doubted)
    {
        refutation = update.refutation + 1;
        update_queue.add(self.id.str());
    }
}

void failure_detector::impl::take_news(peer& it, const member_update& update, time_point now,
                                       membership_actions& actions)
{
    const bool was_present = it.present();
    const bool was_leaving = it.belief.who.leaving;
    const bool same = it.heard && same_run(it.belief.who, update.who);
    const member_state before = it.belief.state;
    it.belief = update;
    it.heard = true;
    it.belief.who.leaving = update.who.leaving || it.listed_leaving || (same && was_leaving);
    if (!same || before != update.state)
    {
        it.since = now;
    }
    const bool dies = update.state == member_state::dead && before != member_state::dead;
    if (was_present && !was_leaving && (dies || !same))
    {
        it.note_failure(config, now);
    }
    update_queue.add(update.who.id.str());
    actions.emplace_back(member_changed{it.belief.who, it.belief.state});
}

void failure_detector::impl::take_leaving(peer& it, membership_actions& actions)
{
    it.belief.who.leaving = true;
    update_queue.add(it.belief.who.id.str());
    actions.emplace_back(member_changed{it.belief.who, it.belief.state});
}

void failure_detector::impl::take_announcement(const announcement& item,
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

void failure_detector::impl::note_ack(const packet& content, time_point now,
                                      membership_actions& actions)
{
    if (current && current->sequence == content.sequence && current->target == content.target)
    {
        current->answered = true;
        return;
    }
    const auto it = relayed.find(content.sequence);
    if (it != relayed.end() && now <= it->second.expires)
    {
        send(packet::kind::ack, it->second.sequence, it->second.asker, content.target, actions);
        relayed.erase(it);
    }
}

// After a pause of this process, answers are still unread and nobody else is to blame.
void failure_detector::impl::absorb_pause(time_point now)
{
    const millis gap = last_tick ? now - *last_tick : millis{0};
    last_tick = now;
    if (gap <= config.probe_timeout)
    {
        return;
    }
    if (current)
    {
        current->started = current->started + gap;
    }
    for (auto& [id, it] : peers)
    {
        it.since = it.belief.state == member_state::suspect ? it.since + gap : it.since;
    }
}

void failure_detector::impl::expire_suspicions(time_point now, membership_actions& actions)
{
    const millis limit = suspicion();
    for (auto& [id, it] : peers)
    {
        if (it.belief.state == member_state::suspect && now - it.since >= limit)
        {
            member_update dead = it.belief;
            dead.state = member_state::dead;
            take_news(it, dead, now, actions);
        }
    }
}

void failure_detector::impl::forget(time_point now)
{
    for (auto it = peers.begin(); it != peers.end();)
    {
        const peer& known = it->second;
        const bool old = now - known.since >= config.dead_retention;
        const bool drop = !known.listed && !known.present() && (!known.heard || old);
        if (drop)
        {
            update_queue.remove(it->first.str());
        }
        it = drop ? peers.erase(it) : std::next(it);
    }
    std::erase_if(relayed, [&](const auto& it) { return it.second.expires < now; });
}

void failure_detector::impl::run_probe(time_point now, membership_actions& actions)
{
    if (current && !current->answered && !current->indirect &&
        now - current->started >= config.probe_timeout)
    {
        probe_indirectly(actions);
    }
    if (!current || now - current->started >= config.probe_interval)
    {
        if (current && !current->answered)
        {
            fail_probe(now, actions);
        }
        next_probe(now, actions);
    }
}

void failure_detector::impl::probe_indirectly(membership_actions& actions)
{
    current->indirect = true;
    std::vector<router_id> helpers;
    for (const auto& [id, it] : peers)
    {
        if (it.present() && it.belief.state == member_state::alive && id != current->target)
        {
            helpers.push_back(id);
        }
    }
    shuffle(helpers);
    helpers.resize(std::min(helpers.size(), config.indirect_probes));
    for (const router_id& id : helpers)
    {
        send(packet::kind::ping_request, current->sequence, peers[id].belief.who, current->target,
             actions);
    }
}

void failure_detector::impl::fail_probe(time_point now, membership_actions& actions)
{
    const auto it = peers.find(current->target);
    if (it != peers.end() && it->second.heard && it->second.belief.state == member_state::alive)
    {
        member_update suspect = it->second.belief;
        suspect.state = member_state::suspect;
        take_news(it->second, suspect, now, actions);
    }
}

void failure_detector::impl::next_probe(time_point now, membership_actions& actions)
{
    ++periods;
    probe_absent(now, actions);
    current.reset();
    if (const std::optional<router_id> target = next_target())
    {
        current = probe{*target, ++sequence, now};
        send(packet::kind::ping, sequence, peers[*target].belief.who, *target, actions);
    }
    else
    {
        current = probe{{}, 0, now, true, true};
    }
}

// Finds new hosts, and routers that were on the other side of a healed partition.
void failure_detector::impl::probe_absent(time_point /*now*/, membership_actions& actions)
{
    std::vector<router_id> unheard;
    std::vector<router_id> dead;
    for (const auto& [id, it] : peers)
    {
        if (!it.present())
        {
            (it.heard ? dead : unheard).push_back(id);
        }
    }
    shuffle(unheard);
    shuffle(dead);
    unheard.resize(std::min(unheard.size(), config.max_join_probes));
    if (!dead.empty() && periods % config.intervals_per_dead_probe == 0)
    {
        unheard.push_back(dead.front());
    }
    for (const router_id& id : unheard)
    {
        send(packet::kind::ping, ++sequence, peers[id].belief.who, id, actions);
    }
}

// Every present peer is probed once per round, in an order that differs from round to round, so
// that detection takes at most two rounds.
std::optional<router_id> failure_detector::impl::next_target()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!round.empty())
        {
            const router_id id = round.back();
            round.pop_back();
            const auto it = peers.find(id);
            if (it != peers.end() && it->second.present())
            {
                return id;
            }
        }
        for (const auto& [id, it] : peers)
        {
            round.push_back(id);
        }
        shuffle(round);
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

void failure_detector::impl::send(packet::kind what, std::uint64_t number, const member& to,
                                  const router_id& target, membership_actions& actions)
{
    packet content{what, number, self, target, {}, {}};
    add_updates(content, to);
    actions.emplace_back(send_packet{to, std::move(content)});
}

bool failure_detector::impl::add_update(packet& content, const router_id& id, std::size_t& room)
{
    const auto it = peers.find(id);
    const bool own = id == self.id;
    if (!own && (it == peers.end() || !it->second.heard))
    {
        return false;
    }
    const member_update update = own ? own_update() : it->second.belief;
    const std::size_t size = encoded_size(update);
    const bool fits = size <= room && content.updates.size() < config.max_gossip_updates;
    if (fits &&
        std::find(content.updates.begin(), content.updates.end(), update) == content.updates.end())
    {
        content.updates.push_back(update);
        room -= size;
    }
    return fits;
}

void failure_detector::impl::add_updates(packet& content, const member& to)
{
    std::size_t room = config.max_gossip_bytes;
    const auto receiver = peers.find(to.id);
    if (receiver != peers.end() && receiver->second.belief.state != member_state::alive)
    {
        add_update(content, to.id, room); // The receiver can refute only what it hears.
    }
    // Half of the room is kept for announcements.
    room -= std::min(room, config.max_gossip_bytes / 2);
    for (const std::string& key : update_queue.order(config.max_gossip_updates))
    {
        if (add_update(content, router_id(key), room))
        {
            update_queue.note_sent(key, transmissions());
        }
    }
    // Repeats one known belief in turn, which repairs losses of bounded gossip.
    const auto next = peers.upper_bound(router_id(last_update));
    const auto it = next == peers.end() ? peers.begin() : next;
    if (it != peers.end())
    {
        last_update = it->first.str();
        add_update(content, it->first, room);
    }
    add_announcements(content, room + config.max_gossip_bytes / 2);
}

void failure_detector::impl::add_announcements(packet& content, std::size_t room)
{
    std::vector<std::string> keys = announcement_queue.order(config.max_gossip_announcements);
    const std::size_t news = keys.size();
    const auto next = announcements.upper_bound(last_announcement);
    const auto it = next == announcements.end() ? announcements.begin() : next;
    if (it != announcements.end() && news < config.max_gossip_announcements &&
        std::find(keys.begin(), keys.end(), it->first) == keys.end())
    {
        last_announcement = it->first;
        keys.push_back(it->first);
    }
    for (std::size_t n = 0; n < keys.size(); ++n)
    {
        const announcement& item = announcements.at(keys[n]);
        const std::size_t size = encoded_size(item);
        if (size > room)
        {
            continue;
        }
        room -= size;
        content.announcements.push_back(item);
        if (n < news)
        {
            announcement_queue.note_sent(keys[n], transmissions());
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
    impl_->absorb_pause(now);
    impl_->expire_suspicions(now, actions);
    impl_->run_probe(now, actions);
    impl_->forget(now);
    return actions;
}

membership_actions failure_detector::receive(const packet& content, time_point now)
{
    membership_actions actions;
    if (content.from.id == impl_->self.id)
    {
        return actions;
    }
    // A sign of life of the sender; it does not end a suspicion, which the sender must refute.
    impl_->take_update({content.from, member_state::alive, 0}, now, actions);
    for (const member_update& update : content.updates)
    {
        impl_->take_update(update, now, actions);
    }
    for (const announcement& item : content.announcements)
    {
        impl_->take_announcement(item, actions);
    }
    if (content.type == packet::kind::ping)
    {
        impl_->send(packet::kind::ack, content.sequence, content.from, impl_->self.id, actions);
    }
    else if (content.type == packet::kind::ack)
    {
        impl_->note_ack(content, now, actions);
    }
    else if (const auto it = impl_->peers.find(content.target); it != impl_->peers.end())
    {
        const std::uint64_t number = ++impl_->sequence;
        impl_->relayed[number] = {content.from, content.sequence,
                                  now + impl_->config.probe_interval};
        impl_->send(packet::kind::ping, number, it->second.belief.who, content.target, actions);
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
            it->second.belief.who = host.router;
            it->second.belief.who.incarnation = 0;
            it->second.since = now;
        }
        it->second.listed = true;
        it->second.listed_leaving = host.router.leaving;
        if (host.router.leaving && !it->second.belief.who.leaving && it->second.heard)
        {
            impl_->take_leaving(it->second, actions);
        }
    }
    return actions;
}

membership_actions failure_detector::add_view_members(std::span<const member> members,
                                                      time_point now)
{
    membership_actions actions;
    for (const member& who : members)
    {
        impl_->take_update({who, member_state::alive, 0}, now, actions);
    }
    return actions;
}

void failure_detector::announce(announcement item)
{
    membership_actions ignored; // The announcing program knows the item.
    const auto it = impl_->announcements.find(item.key);
    if (it == impl_->announcements.end())
    {
        impl_->announcement_queue.add(item.key);
        impl_->announcements.emplace(item.key, std::move(item));
        return;
    }
    impl_->take_announcement(item, ignored);
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
        const auto listed =
            std::lower_bound(in_view.begin(), in_view.end(), id,
                             [](const member& a, const router_id& b) { return a.id < b; });
        const bool inside = listed != in_view.end() && same_run(*listed, it.belief.who);
        const bool held = it.held_until && now < *it.held_until;
        if (it.present() && (inside || !held))
        {
            members.push_back(it.belief.who);
        }
    }
    std::sort(members.begin(), members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    return members;
}

std::optional<member_update> failure_detector::find(const router_id& id) const
{
    const auto it = impl_->peers.find(id);
    if (it == impl_->peers.end() || !it->second.heard)
    {
        return std::nullopt;
    }
    return it->second.belief;
}

const member& failure_detector::self() const
{
    return impl_->self;
}

} // namespace endivestage
