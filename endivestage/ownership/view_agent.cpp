#include <endivestage/ownership/view_agent.hpp>

#include <algorithm>
#include <cassert>
#include <endivestage/core/hashing.hpp>
#include <endivestage/membership/broadcast.hpp>
#include <endivestage/ownership/internal/confirmation.hpp>
#include <endivestage/ownership/internal/ownership_tracker.hpp>
#include <endivestage/ownership/internal/table_operation_tracker.hpp>
#include <endivestage/ownership/internal/view_change.hpp>
#include <endivestage/ownership/owner.hpp>

namespace endivestage
{

namespace
{

member recipient_of(const message_origin& from)
{
    member to;
    to.id = from.id;
    to.incarnation = from.incarnation;
    return to;
}

} // namespace

struct view_agent::impl
{
    impl(view_config view_settings, region_id own_region, member own_entry)
        : config(view_settings),
          region(std::move(own_region)),
          self(std::move(own_entry)),
          ownership({self.id, self.incarnation}),
          table_operations(view_settings.table_timeout)
    {
    }

    message_origin origin() const { return {self.id, self.incarnation}; }
    bool is_member() const;
    bool is_preparing() const { return current && current->state == view_state::preparing; }

    void adopt(view_pointer candidate, time_point now, view_actions& actions);
    void adopt_row(const table_row& row, time_point sent, time_point now, view_actions& actions);
    void ask_witnesses(time_point now, view_actions& actions);
    void read_row(time_point now, view_actions& actions);
    void read_row_if_needed(time_point now, view_actions& actions);
    void insert_first_view(time_point now, view_actions& actions);
    void send_announcement(const member& to, const router_id& root, view_actions& actions) const;
    void broadcast_view(const router_id& root, view_actions& actions) const;
    void propose_change_if_due(time_point now, view_actions& actions);
    void complete_change_if_due(time_point now, view_actions& actions);
    void start_driving();
    void announce_pending(time_point now, view_actions& actions);
    void replace_row(const view& next, time_point now, view_actions& actions);
    void record_acknowledgement(const message_origin& from, std::uint64_t number, time_point now);
    bool row_is_current() const { return row_version != 0 && row_view == current; }
    bool has_membership_difference() const;
    std::optional<std::size_t> own_rank() const;

    view_config config;
    region_id region;
    member self;

    view_pointer current;
    time_point adopted_at;
    time_point number_adopted_at; ///< When a view with the current number was first adopted.
    internal::confirmation view_confirmation;
    internal::ownership_tracker ownership;
    std::optional<time_point> witnesses_asked_at;

    internal::table_operation_tracker table_operations;
    std::uint64_t row_version = 0; ///< Version of the row when it held row_view; 0 if unknown.
    view_pointer row_view;
    bool row_missing = false;
    bool read_requested = false;

    /// Live routers by the failure detector, sorted by id; empty before its first result.
    std::vector<member> desired_members;
    std::optional<time_point> difference_since;
    std::optional<internal::view_change> change; ///< Set while this router completes one.
    bool is_driving = false;
    std::optional<time_point> announced_at;
};

bool view_agent::impl::is_member() const
{
    const member* listed = current ? find_member(current->members, self.id) : nullptr;
    return listed != nullptr && same_run(*listed, self);
}

// Adopts a view that is or was in the row, if it is newer than the current one.
void view_agent::impl::adopt(view_pointer candidate, time_point now, view_actions& actions)
{
    if (current && !is_newer(*candidate, *current))
    {
        return;
    }
    const view_pointer before = current;
    current = std::move(candidate);
    adopted_at = now;
    difference_since.reset();
    is_driving = false;
    announced_at.reset();
    change.reset();
    actions.emplace_back(view_adopted{current});
    ownership.on_view(before, current, now, actions);
    if (!before || before->number != current->number)
    {
        number_adopted_at = now;
        view_confirmation.reset(is_member() ? witnesses_of(*current, self.id)
                                            : std::vector<member>());
        ask_witnesses(now, actions);
    }
}

// Adopts the view in a row that was returned by an operation sent at `sent`.
void view_agent::impl::adopt_row(const table_row& row, time_point sent, time_point now,
                                 view_actions& actions)
{
    const result<view> decoded = decode_view(row.value);
    if (!decoded)
    {
        return; // Operators must repair the row: replacing an unreadable row could lose a view.
    }
    row_missing = false;
    adopt(std::make_shared<const view>(*decoded), now, actions);
    if (decoded->number == current->number && decoded->state == current->state)
    {
        row_version = row.version;
        row_view = current;
        view_confirmation.record_row_read(sent);
    }
}

void view_agent::impl::ask_witnesses(time_point now, view_actions& actions)
{
    witnesses_asked_at = now;
    for (const member& witness : view_confirmation.witnesses())
    {
        const confirm_request request{origin(), static_cast<std::uint64_t>(now.since_epoch),
                                      current->number, current->state};
        actions.emplace_back(send_message<confirm_request>{witness, request});
    }
}

void view_agent::impl::read_row(time_point now, view_actions& actions)
{
    if (table_operations.is_idle(now))
    {
        read_requested = false;
        table_operation operation;
        operation.key = view_key(region);
        actions.emplace_back(table_operations.start(std::move(operation), now));
    }
}

void view_agent::impl::read_row_if_needed(time_point now, view_actions& actions)
{
    const std::optional<time_point> since = view_confirmation.since();
    const bool needs_confirmation = !current || !since || now - *since >= config.row_read_delay;
    const std::optional<time_point> last = table_operations.last_sent();
    const millis interval = read_requested ? config.resend_interval : config.confirm_interval;
    if ((needs_confirmation || read_requested) && (!last || now - *last >= interval))
    {
        read_row(now, actions);
    }
}

void view_agent::impl::insert_first_view(time_point now, view_actions& actions)
{
    if (!row_missing || current || desired_members.empty() || !table_operations.is_idle(now))
    {
        return;
    }
    const view first{1, view_state::active, region, desired_members, {}};
    table_operation operation{table_operation::kind::insert, view_key(region), 0,
                              encode_view(first)};
    row_missing = false;
    actions.emplace_back(table_operations.start(std::move(operation), now));
}

void view_agent::impl::send_announcement(const member& to, const router_id& root,
                                         view_actions& actions) const
{
    if (to.id != self.id)
    {
        actions.emplace_back(send_message<view_announce>{to, {origin(), current, root}});
    }
}

void view_agent::impl::broadcast_view(const router_id& root, view_actions& actions) const
{
    for (const member& child : broadcast_children(current->members, root, self.id))
    {
        send_announcement(child, root, actions);
    }
}

bool view_agent::impl::has_membership_difference() const
{
    return !desired_members.empty() && desired_members != current->members;
}

// Returns the position of this router in the order in which live routers propose changes. Members
// of the view come first.
std::optional<std::size_t> view_agent::impl::own_rank() const
{
    std::vector<weighted_node> nodes;
    for (const member& entry : desired_members)
    {
        const auto listed =
            std::lower_bound(current->members.begin(), current->members.end(), entry.id,
                             [](const member& a, const router_id& id) { return a.id < id; });
        // The weight puts routers outside the view last in practice. Safety does not depend on the
        // order.
        const bool is_in_view = listed != current->members.end() && same_run(*listed, entry);
        nodes.push_back({hash64(entry.id.view()), is_in_view ? 1.0 : 1e-9});
    }
    const std::string key = std::to_string(current->number);
    const std::vector<std::size_t> order = rank_by_rendezvous(hash64(key), nodes, nodes.size());
    const auto it = std::find_if(order.begin(), order.end(),
                                 [&](std::size_t n) { return desired_members[n].id == self.id; });
    if (it == order.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - order.begin());
}

void view_agent::impl::replace_row(const view& next, time_point now, view_actions& actions)
{
    if (!table_operations.is_idle(now))
    {
        return;
    }
    if (!row_is_current())
    {
        read_requested = true;
        return;
    }
    table_operation operation{table_operation::kind::replace, view_key(region), row_version,
                              encode_view(next)};
    row_version = 0; // Unknown until the result arrives.
    actions.emplace_back(table_operations.start(std::move(operation), now));
}

void view_agent::impl::propose_change_if_due(time_point now, view_actions& actions)
{
    if (!current || is_preparing())
    {
        return;
    }
    if (!has_membership_difference())
    {
        difference_since.reset();
        return;
    }
    if (!difference_since)
    {
        difference_since = now;
    }
    const std::optional<std::size_t> rank = own_rank();
    if (rank && now - adopted_at >= config.proposal_delay &&
        now - *difference_since >= config.takeover_delay * static_cast<std::int64_t>(*rank))
    {
        replace_row(
            {current->number + 1, view_state::preparing, region, desired_members, current->members},
            now, actions);
    }
}

void view_agent::impl::complete_change_if_due(time_point now, view_actions& actions)
{
    if (!is_preparing())
    {
        return;
    }
    if (!is_driving)
    {
        const std::optional<std::size_t> rank = own_rank();
        const millis takeover_wait =
            config.takeover_delay *
            static_cast<std::int64_t>(rank ? *rank + 1 : desired_members.size() + 1);
        if (now - adopted_at < takeover_wait)
        {
            return;
        }
        start_driving();
    }
    announce_pending(now, actions);
    const std::optional<time_point> ready =
        change->ready_at(config.confirmation_window + config.confirmation_margin);
    if (ready && *ready <= now)
    {
        view next = *current;
        next.state = view_state::active;
        replace_row(next, now, actions);
    }
}

// Starts to complete the change in progress. Acknowledgements are collected from here on.
void view_agent::impl::start_driving()
{
    is_driving = true;
    change.emplace(current, adopted_at);
    change->record_acknowledgement(origin(), adopted_at);
}

void view_agent::impl::announce_pending(time_point now, view_actions& actions)
{
    if (announced_at && now - *announced_at < config.resend_interval)
    {
        return;
    }
    announced_at = now;
    for (const member& entry : change->pending())
    {
        send_announcement(entry, {}, actions);
    }
}

void view_agent::impl::record_acknowledgement(const message_origin& from, std::uint64_t number,
                                              time_point now)
{
    if (change && number >= current->number)
    {
        change->record_acknowledgement(from, now);
    }
}

view_agent::view_agent(view_config config, region_id region, member self)
    : impl_(std::make_unique<impl>(config, std::move(region), std::move(self)))
{
}

view_agent::view_agent(view_agent&&) noexcept = default;
view_agent& view_agent::operator=(view_agent&&) noexcept = default;
view_agent::~view_agent() = default;

view_actions view_agent::tick(time_point now)
{
    view_actions actions;
    if (current() && (!impl_->witnesses_asked_at ||
                      now - *impl_->witnesses_asked_at >= impl_->config.confirm_interval))
    {
        impl_->ask_witnesses(now, actions);
    }
    impl_->insert_first_view(now, actions);
    impl_->propose_change_if_due(now, actions);
    impl_->complete_change_if_due(now, actions);
    impl_->read_row_if_needed(now, actions);
    return actions;
}

view_actions view_agent::on_table_result(std::uint64_t token, const table_result& outcome,
                                         time_point now)
{
    view_actions actions;
    const std::optional<time_point> sent = impl_->table_operations.finish(token);
    if (!sent)
    {
        return actions;
    }
    if (outcome.what == table_result::outcome::not_found)
    {
        impl_->row_missing = true;
        impl_->insert_first_view(now, actions);
    }
    const bool applied = outcome.what == table_result::outcome::applied;
    if (applied || outcome.what == table_result::outcome::conflict)
    {
        const view_pointer before = impl_->current;
        impl_->adopt_row(outcome.row, *sent, now, actions);
        if (impl_->current != before)
        {
            // A router that finds a new view in the row broadcasts it. Several routers may do so;
            // duplicate announcements are harmless.
            if (impl_->is_preparing() && applied)
            {
                impl_->start_driving();
            }
            impl_->broadcast_view(impl_->self.id, actions);
        }
    }
    impl_->propose_change_if_due(now, actions);
    impl_->complete_change_if_due(now, actions);
    return actions;
}

view_actions view_agent::on_message(const confirm_request& message, time_point now)
{
    view_actions actions;
    impl_->record_acknowledgement(message.from, message.number, now);
    confirm_answer answer{impl_->origin(), message.from.incarnation, message.question, 0, true, {}};
    const view_pointer& newest = impl_->current;
    if (newest)
    {
        answer.number = newest->number;
        answer.confirmed = newest->number <= message.number;
        if (newest->number > message.number ||
            (newest->number == message.number && newest->state != message.state &&
             newest->state == view_state::active))
        {
            answer.newest = newest;
        }
    }
    actions.emplace_back(
        send_message<confirm_answer>{recipient_of(message.from), std::move(answer)});
    return actions;
}

view_actions view_agent::on_message(const confirm_answer& message, time_point now)
{
    view_actions actions;
    if (message.asked_by != impl_->self.incarnation || !impl_->current)
    {
        return actions;
    }
    if (message.newest)
    {
        impl_->adopt(message.newest, now, actions);
    }
    const time_point sent{static_cast<std::int64_t>(message.question)};
    const view& newest = *impl_->current;
    if (message.confirmed && message.number <= newest.number && sent >= impl_->number_adopted_at)
    {
        impl_->view_confirmation.record_answer(message.from, sent);
    }
    if (message.number < newest.number)
    {
        impl_->send_announcement(recipient_of(message.from), {}, actions);
    }
    return actions;
}

view_actions view_agent::on_message(const view_announce& message, time_point now)
{
    view_actions actions;
    const view_pointer before = impl_->current;
    impl_->adopt(message.announced, now, actions);
    if (impl_->current != before && !message.root.empty())
    {
        impl_->broadcast_view(message.root, actions);
    }
    // Only the router that completes the change collects acknowledgements. It sends its
    // announcements directly, without a broadcast root, to the routers that must acknowledge.
    if (message.root.empty())
    {
        actions.emplace_back(send_message<view_acknowledgement>{
            recipient_of(message.from), {impl_->origin(), impl_->current->number}});
    }
    return actions;
}

view_actions view_agent::on_message(const view_acknowledgement& message, time_point now)
{
    view_actions actions;
    impl_->record_acknowledgement(message.from, message.number, now);
    impl_->complete_change_if_due(now, actions);
    return actions;
}

view_actions view_agent::on_membership(std::span<const member> live, time_point now)
{
    assert(find_member(live, impl_->self.id) != nullptr);
    impl_->desired_members.assign(live.begin(), live.end());
    std::sort(impl_->desired_members.begin(), impl_->desired_members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    view_actions actions;
    impl_->propose_change_if_due(now, actions);
    return actions;
}

view_actions view_agent::on_view_number(std::uint64_t number, time_point now)
{
    view_actions actions;
    if (!impl_->current || number > impl_->current->number)
    {
        impl_->read_requested = true;
        impl_->read_row_if_needed(now, actions);
    }
    return actions;
}

view_actions view_agent::on_run_ended(const router_id& id, std::uint64_t incarnation,
                                      time_point now)
{
    view_actions actions;
    if (impl_->current)
    {
        impl_->record_acknowledgement({id, incarnation}, impl_->current->number, now);
    }
    impl_->complete_change_if_due(now, actions);
    return actions;
}

view_actions view_agent::set_endpoints(std::span<const endpoint_id> endpoints, time_point now)
{
    view_actions actions;
    impl_->ownership.set_endpoints(endpoints, impl_->current, now, actions);
    return actions;
}

std::error_code view_agent::may_issue(const endpoint_id& endpoint, time_point now) const
{
    if (!impl_->ownership.owns(endpoint))
    {
        return make_error_code(errc::not_owner);
    }
    const std::optional<time_point> since = impl_->view_confirmation.since();
    if (!since || now - *since > impl_->config.confirmation_window)
    {
        return make_error_code(errc::unconfirmed_view);
    }
    return {};
}

view_pointer view_agent::current() const
{
    return impl_->current;
}

bool view_agent::is_driving_change() const
{
    return impl_->is_driving;
}

} // namespace endivestage
