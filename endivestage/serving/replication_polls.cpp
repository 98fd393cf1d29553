// Calls of the table service: polls, refreshes and confirmations.

#include <endivestage/serving/replication_service.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis routers_poll_wait{10000};
/// Delay after a failed call to the table service. It grows with consecutive failures up to
/// max_retry_delay.
constexpr millis initial_retry_delay{120};
constexpr millis max_retry_delay{500};
/// Consecutive failures after which a router polls a relay instead.
constexpr std::int64_t max_service_failures = 2;
/// Pause after a change while rows may be missing because of an outage. Endpoints whose records go
/// then are kept for a grace period, which leaves less time to learn of it.
constexpr millis settling_change_pause{100};
/// A call of confirm() without a response for this time is repeated while it is under way.
constexpr millis confirm_repeat_interval{80};
constexpr int max_confirm_calls = 3;
/// Pause after a call of confirm() that failed.
constexpr millis confirm_pause{250};
constexpr millis idle_poll_interval{50};
/// A read of the tables that takes longer counts as failed.
constexpr millis read_timeout{1000};
constexpr int max_reads = 3;
/// Interval at which a router looks whether it must read the tables.
constexpr millis read_check_interval{250};
constexpr millis shortest_read_check{20};

} // namespace

void replication_service::record_service_result(shared_table table, time_point sent,
                                                std::error_code ec)
{
    service_state& state = service_states_.at(table);
    const time_point now = time_.now();
    if (ec)
    {
        ++state.failures;
        outage_.record_failure(sent);
        if (state.reachable)
        {
            state.reachable = false;
            log_event(log_level::warning, "table_service_lost",
                      {{"table", to_string(table)},
                       ec,
                       {"after_ms", now - sent},
                       {"age_ms", age(table).value_or(millis{-1})}});
        }
        return;
    }
    outage_.record_success(now);
    if (!state.reachable)
    {
        log_event(log_level::info, "table_service_reached",
                  {{"table", to_string(table)},
                   {"failures", state.failures},
                   {"settling", is_settling()}});
    }
    state.reachable = true;
    state.failures = 0;
}

void replication_service::record_cut_off(shared_table table, std::string_view cause)
{
    const bool was_cut_off = source_choice_.is_cut_off();
    source_choice_.record_failed_read(time_.now());
    if (!was_cut_off)
    {
        log_event(log_level::info, "service_unreachable",
                  {{"table", to_string(table)},
                   {"cause", cause},
                   {"failures", service_states_.at(table).failures},
                   {"age_ms", age().value_or(millis{-1})}});
    }
}

void replication_service::record_reached()
{
    const bool reached =
        std::all_of(aged_tables.begin(), aged_tables.end(),
                    [this](shared_table table) { return service_states_.at(table).reachable; });
    if (reached && source_choice_.is_cut_off())
    {
        log_event(log_level::info, "service_reachable",
                  {{"age_ms", age().value_or(millis{-1})}, {"relays", "all_asked_again"}});
    }
    if (reached)
    {
        source_choice_.record_read();
    }
}

awaitable<millis> replication_service::poll_service(shared_table table, millis max_wait)
{
    const std::optional<table_position> position = replicas_.at(table).position();
    const time_point sent = time_.now();
    ++store_calls_;
    result<timestamped_batch> response = make_error_code(errc::stale_view);
    bool listed = false;
    // When the changes since this revision are no longer available, as after an outage, a list
    // returns all rows at once.
    if (position)
    {
        response = co_await tables_.fetch_changes(table, position->revision, max_wait);
    }
    // A feed that goes on in a later era lacks rows that were written under lower revisions.
    const bool is_later_era = response && response->batch.era > position->era;
    if (is_later_era || (!response && response.error() == errc::stale_view))
    {
        listed = true;
        response = co_await tables_.list(table);
    }
    record_service_result(table, sent, response ? std::error_code{} : response.error());
    if (!response)
    {
        const std::int64_t failures = service_states_.at(table).failures;
        const bool depended_on = primary_ || !is_complete();
        if (table != shared_table::routers && depended_on && failures >= max_service_failures)
        {
            record_cut_off(table, "polls_failed");
        }
        const millis delay =
            std::min(max_retry_delay, initial_retry_delay * std::min<std::int64_t>(failures, 8));
        if (!is_complete() && callbacks_.on_start_delayed)
        {
            callbacks_.on_start_delayed(time_.now() + delay);
        }
        co_return delay;
    }
    service_clock_.observe(sent, response->timestamp);
    const bool is_older = position && response->batch.position() < *position;
    if (is_restored(response->batch.era))
    {
        outage_.record_restore(time_.now());
        ++restores_;
    }
    const bool changed = apply(table, response->batch);
    if (!is_older)
    {
        renew_freshness(
            table,
            std::max(sent, service_clock_.earliest_local(response->timestamp).value_or(sent)));
    }
    record_reached();
    callbacks_.on_updated();
    const millis stalled = record_progress(table, {position, response->batch.position(), listed,
                                                   time_.now() - sent, max_wait, changed});
    if (stalled > millis{0})
    {
        co_return stalled;
    }
    const bool urgent =
        table == shared_table::operations ||
        (table == shared_table::routers && rollouts_ != nullptr && rollouts_->is_active());
    if (!changed || urgent)
    {
        co_return millis{0};
    }
    const millis pause = source_choice_.timing().change_pause;
    co_return is_settling() ? std::min(pause, settling_change_pause) : pause;
}

millis replication_service::record_progress(shared_table table, const poll_answer& answer)
{
    poll_progress& progress = service_states_.at(table).progress;
    const poll_stall stall = progress.record(answer);
    const millis pause =
        progress.pause(hash64(self_.view(), static_cast<std::uint64_t>(answer.took.count)));
    if (progress.stalls() == 1)
    {
        log_event(log_level::warning, "table_poll_stalled",
                  {{"table", to_string(table)},
                   {"reason", to_string(stall)},
                   {"copy", answer.known.value_or(table_position{}).revision},
                   {"copy_era", answer.known.value_or(table_position{}).era},
                   {"answer", answer.position.revision},
                   {"answer_era", answer.position.era},
                   {"pause_ms", pause}});
    }
    return pause;
}

millis replication_service::poll_wait(shared_table table) const
{
    if (table == shared_table::routers)
    {
        return routers_poll_wait;
    }
    // A lost response shows only when its poll times out. The wait therefore bounds the age of the
    // copy, including a pause before the poll. A router that becomes the primary has an old copy,
    // and others wait for its first answer.
    const millis max_age = source_choice_.timing().poll_wait;
    return std::max(millis{0}, max_age - age(table).value_or(millis{0}));
}

bool replication_service::polls_service(shared_table table) const
{
    return primary_ || (!replicas_.at(table).revision() && starts_from_service_);
}

awaitable<void> replication_service::follow_service(shared_table table)
{
    for (;;)
    {
        if (!polls_service(table))
        {
            co_await wait_for_change(idle_poll_interval);
            continue;
        }
        const millis delay = co_await poll_service(table, poll_wait(table));
        if (delay > millis{0})
        {
            co_await daemon::sleep_for(delay);
        }
    }
}

awaitable<void> replication_service::read_tables(std::shared_ptr<table_read> read)
{
    ++reads_under_way_;
    shared_table failed = shared_table::operations;
    read->pause = co_await poll_service(shared_table::operations, millis{0});
    read->reached = service_states_.at(shared_table::operations).reachable;
    if (read->reached)
    {
        failed = shared_table::endpoints;
        const millis pause = co_await poll_service(shared_table::endpoints, millis{0});
        read->pause = std::max(read->pause, pause);
        read->reached = service_states_.at(shared_table::endpoints).reachable;
    }
    read->done = true;
    --reads_under_way_;
    if (!read->reached && !read->overdue)
    {
        record_cut_off(failed, "read_failed");
    }
    end_waits();
}

// A response that stops halfway takes longer to be given up than a copy may grow old.
awaitable<void> replication_service::refresh()
{
    const time_point started = time_.now();
    const std::shared_ptr<table_read> read = std::make_shared<table_read>();
    asio::co_spawn(context_, read_tables(read), asio::detached);
    while (!read->done && time_.now() - started < read_timeout)
    {
        co_await wait_for_change(read_timeout - (time_.now() - started));
    }
    if (!read->done)
    {
        read->overdue = true;
        record_cut_off(shared_table::operations, "read_overdue");
        co_return;
    }
    const bool stalled = std::any_of(aged_tables.begin(), aged_tables.end(),
                                     [this](shared_table table)
                                     { return service_states_.at(table).progress.stalls() > 0; });
    if (stalled)
    {
        co_await daemon::sleep_for(read->pause);
    }
}

awaitable<void> replication_service::refresh_old_copies()
{
    for (;;)
    {
        const std::optional<millis> copy_age = age();
        // Without a copy that is overdue nothing is read, whatever the rank of this router.
        if (!is_complete() || start_sequence_ ||
            (copy_age && !source_choice_.is_overdue(*copy_age) && !source_choice_.is_cut_off()))
        {
            co_await daemon::sleep_for(read_check_interval);
            continue;
        }
        const millis wait =
            source_choice_.time_until_read(live_candidates(), copy_age, time_.now());
        if (wait > millis{0} || reads_under_way_ >= max_reads)
        {
            co_await daemon::sleep_for(std::clamp(wait, shortest_read_check, read_check_interval));
            continue;
        }
        log_event(log_level::info, "copies_refreshed",
                  {{"age_ms", copy_age.value_or(millis{-1})},
                   {"source",
                    current_relay_.empty() ? std::string("table_service") : current_relay_.str()},
                   {"cut_off", source_choice_.is_cut_off()}});
        co_await refresh();
    }
}

awaitable<void> replication_service::confirm_once(shared_table table)
{
    service_state& state = service_states_.at(table);
    ++state.confirming;
    state.confirm_sent_at = time_.now();
    co_await poll_service(table, millis{0});
    --state.confirming;
    state.unconfirmed_at = state.reachable ? std::nullopt : std::optional(time_.now());
    end_waits();
}

// Requests that come together share a call: one that was sent after a request arrived shows all
// that the table had then.
awaitable<bool> replication_service::confirm(shared_table table, millis max_wait)
{
    const service_state& state = service_states_.at(table);
    const time_point asked = time_.now();
    for (;;)
    {
        const time_point now = time_.now();
        const std::optional<millis> copy_age = age(table);
        if (copy_age && now - *copy_age >= asked)
        {
            co_return true;
        }
        const bool failed = state.unconfirmed_at && now - *state.unconfirmed_at < confirm_pause;
        if (failed || now - asked >= max_wait)
        {
            co_return false;
        }
        // A connection that was open during a cut may stay silent after it; the next call opens
        // another.
        const bool repeats = state.confirming < max_confirm_calls &&
                             now - state.confirm_sent_at >= confirm_repeat_interval;
        if (state.confirming == 0 || repeats)
        {
            asio::co_spawn(context_, confirm_once(table), asio::detached);
        }
        co_await wait_for_change(std::min(confirm_repeat_interval, max_wait - (now - asked)));
    }
}

} // namespace endivestage::serving
