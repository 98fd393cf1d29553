/// \file
/// \brief Fixture: routers that copy a table from a table service and from each other, in steps of
/// simulated time.
#pragma once

#include <endivestage/replication.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace endivestage::test
{

/// \brief The routers of a fleet with their sources of changes, without network and rows.
///
/// Each router does what the replication service does: it polls a relay or the table service, and
/// reads the table service itself when its copies are too old.
class simulated_copies
{
public:
    static constexpr millis step{10};

    /// \brief How the table service treats a router.
    enum class service_access
    {
        answers,
        silent, ///< Calls are lost.
        refuses,
    };

    simulated_copies(std::size_t routers, std::size_t zones, replication_timing timing)
        : access_(routers, service_access::answers),
          links_(routers, std::vector<char>(routers, 1))
    {
        source_choice_config config;
        config.timing = timing;
        for (std::size_t n = 0; n < routers; ++n)
        {
            router r;
            r.info = {router_id("router-" + std::to_string(n)),
                      zone_id("zone-" + std::to_string(n % zones)), n % 4 == 0 ? 0.5 : 0.25};
            r.heard.assign(routers, time_point{0});
            r.choice.emplace(config, r.info.id, r.info.zone);
            // The fleet has run for a while.
            r.current_at = time_point{0};
            r.complete = true;
            routers_.push_back(std::move(r));
        }
        config_ = config;
    }

    std::size_t size() const { return routers_.size(); }
    time_point now() const { return now_; }

    void set_access(std::size_t n, service_access access) { access_[n] = access; }
    /// Cuts or restores the links between two routers, in both directions.
    void set_link(std::size_t a, std::size_t b, bool up)
    {
        const char state = up ? 1 : 0;
        links_[a][b] = state;
        links_[b][a] = state;
    }

    /// Ends a router's process; with \p host_lost its host does not answer either.
    void stop(std::size_t n, bool host_lost)
    {
        routers_[n].running = false;
        routers_[n].host_lost = host_lost;
    }

    void start(std::size_t n)
    {
        router fresh;
        fresh.info = routers_[n].info;
        fresh.heard.assign(size(), now_); // From the routers' table.
        fresh.choice.emplace(config_, fresh.info.id, fresh.info.zone);
        fresh.started = now_;
        routers_[n] = std::move(fresh);
    }

    bool is_running(std::size_t n) const { return routers_[n].running; }
    /// \returns Age of a router's copy; nothing before it is known to be current.
    std::optional<millis> age(std::size_t n) const
    {
        const router& r = routers_[n];
        return r.current_at ? std::optional<millis>(now_ - *r.current_at) : std::nullopt;
    }
    /// \returns Calls of a router to the table service, failed ones included.
    int calls(std::size_t n) const { return routers_[n].calls; }
    int calls() const
    {
        int sum = 0;
        for (const router& r : routers_)
        {
            sum += r.calls;
        }
        return sum;
    }

    void advance()
    {
        now_ = now_ + step;
        for (std::size_t n = 0; n < size(); ++n)
        {
            if (routers_[n].running)
            {
                hear(n);
                follow_service(n);
                finish_read(n);
                finish_relay_poll(n);
                start_relay_poll(n);
                read_old_copies(n);
            }
        }
    }

private:
    static constexpr millis call_time{10};
    static constexpr millis response_timeout{900};
    static constexpr millis read_timeout{1000};
    static constexpr millis relay_wait{250};
    static constexpr millis relay_timeout{600};
    static constexpr millis failed_poll_pause{20};
    static constexpr millis idle_interval{50};
    static constexpr millis check_interval{250};
    static constexpr millis detection_time{2000};
    static constexpr millis start_period{450};

    /// \brief A call to the table service.
    struct call
    {
        time_point sent;
        millis wait{0};
        bool lost = false;
        bool refused = false;
    };

    /// \brief A poll of a relay.
    struct relay_poll
    {
        std::size_t relay = 0;
        time_point sent;
        bool lost = false;
    };

    struct router
    {
        relay_candidate info;
        std::optional<source_choice> choice;
        std::vector<time_point> heard; ///< When each router was last heard from.
        bool running = true;
        bool host_lost = false;
        bool complete = false;
        time_point started;
        std::optional<time_point> current_at;
        bool primary = false;
        std::optional<call> poll;
        std::int64_t failures = 0;
        time_point next_poll;
        std::optional<call> read;
        time_point next_check;
        std::optional<relay_poll> relay;
        time_point idle_until;
        int calls = 0;
    };

    /// \returns Whether the call has ended; nothing while it is under way.
    std::optional<bool> outcome(std::size_t n, call& pending) const
    {
        pending.lost = pending.lost || access_[n] == service_access::silent;
        pending.refused = pending.refused || access_[n] == service_access::refuses;
        const millis took = now_ - pending.sent;
        if (pending.lost)
        {
            return took >= pending.wait + response_timeout ? std::optional(false) : std::nullopt;
        }
        if (pending.refused)
        {
            return false;
        }
        return took >= pending.wait + call_time ? std::optional(true) : std::nullopt;
    }

    void hear(std::size_t n)
    {
        for (std::size_t m = 0; m < size(); ++m)
        {
            if (m == n || (routers_[m].running && links_[n][m] != 0))
            {
                routers_[n].heard[m] = now_;
            }
        }
    }

    std::vector<relay_candidate> live(std::size_t n) const
    {
        std::vector<relay_candidate> candidates;
        for (std::size_t m = 0; m < size(); ++m)
        {
            if (now_ - routers_[n].heard[m] < detection_time)
            {
                candidates.push_back(routers_[m].info);
            }
        }
        return candidates;
    }

    void renew(router& r, time_point instant)
    {
        r.current_at = std::max(r.current_at.value_or(instant), instant);
    }

    void follow_service(std::size_t n)
    {
        router& r = routers_[n];
        const bool polls = r.primary || (!r.complete && now_ - r.started >= start_period);
        if (!r.poll && polls && now_ >= r.next_poll)
        {
            const millis poll_wait = config_.timing.poll_wait;
            const millis age = r.current_at ? now_ - *r.current_at : poll_wait;
            r.poll = call{now_, std::max(millis{0}, poll_wait - age)};
            ++r.calls;
        }
        const std::optional<bool> answered = r.poll ? outcome(n, *r.poll) : std::nullopt;
        if (!answered)
        {
            return;
        }
        r.poll.reset();
        if (*answered)
        {
            renew(r, now_ - call_time);
            r.failures = 0;
            r.complete = true;
            r.choice->record_read();
            return;
        }
        ++r.failures;
        if (r.failures >= 2 && (r.primary || !r.complete))
        {
            r.choice->record_failed_read(now_);
        }
        r.next_poll = now_ + std::min(millis{500}, millis{120} * r.failures);
    }

    void finish_read(std::size_t n)
    {
        router& r = routers_[n];
        std::optional<bool> answered = r.read ? outcome(n, *r.read) : std::nullopt;
        if (r.read && !answered && now_ - r.read->sent >= read_timeout)
        {
            answered = false;
        }
        if (!answered)
        {
            return;
        }
        const time_point sent = r.read->sent;
        r.read.reset();
        r.next_check = now_;
        if (*answered)
        {
            renew(r, sent);
            r.failures = 0;
            r.choice->record_read();
        }
        else
        {
            r.choice->record_failed_read(now_);
        }
    }

    void finish_relay_poll(std::size_t n)
    {
        router& r = routers_[n];
        if (!r.relay)
        {
            return;
        }
        const router& relay = routers_[r.relay->relay];
        const millis took = now_ - r.relay->sent;
        r.relay->lost = r.relay->lost || links_[n][r.relay->relay] == 0 || relay.host_lost;
        const bool refused = !relay.running && !r.relay->lost;
        if (refused || (r.relay->lost && took >= relay_timeout))
        {
            fail_relay_poll(n, relay_failure::unreachable);
            return;
        }
        if (r.relay->lost)
        {
            return;
        }
        const std::optional<millis> relay_age = age(r.relay->relay);
        const bool relay_cut_off = relay.choice->is_cut_off();
        const bool unusable =
            relay_cut_off && !r.choice->may_follow_cut_off(relay.info.id, live(n));
        const bool helps = relay_age && !relay_cut_off && !relay.choice->is_overdue(*relay_age) &&
                           (!r.current_at || relay.choice->is_overdue(now_ - *r.current_at));
        const bool first = !r.complete && relay.complete;
        if (!helps && !first && took < relay_wait)
        {
            return;
        }
        if (!relay.complete)
        {
            fail_relay_poll(n, relay_failure::unreachable);
            return;
        }
        if (!r.complete)
        {
            r.complete = true;
            r.choice->forget_failures();
        }
        if (unusable)
        {
            fail_relay_poll(n, relay_failure::cut_off);
        }
        else if (!relay_age || relay.choice->is_relay_stale(*relay_age))
        {
            fail_relay_poll(n, relay_failure::behind);
        }
        else
        {
            renew(r, *relay.current_at);
            r.choice->record_answer(relay.info.id);
            r.relay.reset();
        }
    }

    void fail_relay_poll(std::size_t n, relay_failure failure)
    {
        router& r = routers_[n];
        r.choice->record_failure(routers_[r.relay->relay].info.id, failure, live(n), now_);
        r.relay.reset();
        r.idle_until = now_ + failed_poll_pause;
    }

    void start_relay_poll(std::size_t n)
    {
        router& r = routers_[n];
        if (r.relay || now_ < r.idle_until)
        {
            return;
        }
        const change_source source = r.choice->choose(live(n), now_);
        r.primary = source.type == change_source::kind::service;
        if (source.type != change_source::kind::relay)
        {
            r.idle_until = now_ + idle_interval;
            return;
        }
        const auto it = std::find_if(routers_.begin(), routers_.end(),
                                     [&](const router& candidate)
                                     { return candidate.info.id == source.relay; });
        r.relay = relay_poll{static_cast<std::size_t>(it - routers_.begin()), now_};
    }

    void read_old_copies(std::size_t n)
    {
        router& r = routers_[n];
        if (r.read || now_ < r.next_check)
        {
            return;
        }
        const std::optional<millis> own_age = age(n);
        const bool idle = own_age && !r.choice->is_overdue(*own_age) && !r.choice->is_cut_off();
        if (!r.complete || idle)
        {
            r.next_check = now_ + check_interval;
            return;
        }
        const millis wait = r.choice->time_until_read(live(n), own_age, now_);
        if (wait > millis{0})
        {
            r.next_check = now_ + std::clamp(wait, millis{20}, check_interval);
            return;
        }
        r.read = call{now_};
        r.calls += 2; // One for each table.
    }

    source_choice_config config_;
    std::vector<router> routers_;
    std::vector<service_access> access_;
    std::vector<std::vector<char>> links_;
    time_point now_;
};

} // namespace endivestage::test
