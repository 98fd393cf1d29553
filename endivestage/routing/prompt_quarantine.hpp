/// \file
/// \brief Quarantine of parts of prompts that crash engines.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing/prefix_directory.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivestage
{

/// \brief What one router tells the others about a part of prompts.
struct part_report
{
    enum class type : std::uint8_t
    {
        crashed, ///< An engine crashed on a request with the part, before the second event.
        served,  ///< An engine answered a request with the part beyond its first event.
        trial,   ///< A router sends one request with the quarantined part.
    };

    type kind = type::crashed;
    std::uint64_t part = 0;  ///< Hash of the part.
    std::uint64_t event = 0; ///< Identifies a crash or a trial; 0 for a served request.
    millis age{0};           ///< Time since it happened; clocks of routers are not compared.

    bool operator==(const part_report&) const = default;
};

/// \brief What is stored about a quarantined part, so that it outlasts a restart of all routers.
struct quarantine_record
{
    std::uint64_t part = 0;
    std::vector<part_report> crashes; ///< The latest ones, beginning with the last.
};

/// \brief Limits of a \ref prompt_quarantine.
struct prompt_quarantine_config
{
    /// Crashes of different engines, without a served request since, that quarantine a part.
    std::size_t min_crashes = 3;
    /// The same for a part that was served before. Such a part is more likely to accompany the
    /// cause than to be it, so crashes that a quarantined new part explains do not count.
    std::size_t min_crashes_if_proven = 6;
    /// Time for reports of served requests to arrive before a quarantine takes effect. When many
    /// engines fail at once for another reason, parts in common use are cleared within this time.
    millis settling_time{300};
    /// Duration of a first quarantine; doubles with each trial that ends in a crash. A trial costs
    /// an engine and all its streams.
    millis min_duration{60000};
    /// The same for a part that was served before. All engines of a service may have failed at
    /// once.
    millis min_duration_if_proven{3000};
    millis max_duration{600000};
    /// How long after the end of a quarantine a crash that is older than the longest duration
    /// counts.
    millis memory_after_end{300000};
    /// Older reports are ignored.
    millis max_report_age{6000000};
    /// How long other routers wait for the outcome of a trial. An engine under load takes seconds
    /// until it begins to answer.
    millis trial_duration{10000};
    /// Interval at which more routers become entitled to a trial.
    millis trial_step{10000};
    /// Both for a part that was served before, which is rarely deadly.
    millis trial_step_if_proven{2000};
    /// How long after a clearance is repeated to routers that missed it.
    millis repeat_interval{1000};
    /// By how much the age of a report may be too low. The time that a datagram takes is not in it.
    millis age_tolerance{1000};
    /// Reports that are repeated at once. Each takes 21 bytes and goes to up to seven routers.
    std::size_t max_reminders_at_once = 32;
    std::size_t max_parts = 4096;   ///< Parts with reports; those with the oldest are dropped.
    std::size_t max_served = 16384; ///< Parts that are remembered as served.
};

/// \brief Whether a request may be sent to an engine.
struct quarantine_decision
{
    bool admitted = true;
    std::uint64_t part = 0; ///< The quarantined part, also when the request is admitted as a trial.
    millis retry_after{0};  ///< Until the part may be tried again; only of refused requests.
    std::vector<part_report> reports; ///< For the other routers; only of trials.
};

/// \brief Finds out which part of a prompt crashes engines, and keeps requests with it from them.
///
/// A crash ends many requests, and each prompt consists of several parts. The part that causes
/// crashes is the one that occurs in crash after crash and never in a request that is served. Parts
/// that were served before, such as the history of a chat that sends the deadly part, are the cause
/// only if no new part explains the crashes. New parts that occur in the same crashes are refused
/// together only: a request with one of them shows which it is. The routers share what they
/// observe, because each of them sees few of the requests with one part.
///
/// When a quarantine ends, a few routers send one request each before the others follow: the part
/// is cleared if it is served, and quarantined for longer if another engine crashes.
///
/// Only the first 256 parts of a prompt are regarded. Not thread-safe. The times passed in must not
/// decrease.
class prompt_quarantine
{
public:
    /// \param self Hash of this router's id.
    explicit prompt_quarantine(std::uint64_t self, prompt_quarantine_config config = {})
        : self_(self),
          config_(config),
          served_(config.max_served)
    {
    }

    /// \brief Records that an engine crashed on a request before it had sent a second event.
    /// \param parts The shared parts of the request's prompt.
    /// \param crash Identifies the crash; equal for all requests that it ended, on all routers.
    /// \param age Time since the crash.
    /// \returns Reports for the other routers.
    std::vector<part_report> record_crash(std::span<const prompt_part> parts, std::uint64_t crash,
                                          millis age, time_point now);

    /// \brief Records that an engine answered a request beyond its first event, which clears its
    /// parts.
    /// \returns Reports for the other routers; none for parts without a crash.
    std::vector<part_report> record_served(std::span<const prompt_part> parts, time_point now);

    /// \brief Applies a report of another router.
    /// \returns Reports to pass on: this one if it is new, or the clearance that its sender missed.
    std::vector<part_report> apply(const part_report& report, time_point now);

    /// \returns Whether any of the parts is quarantined.
    bool contains(std::span<const prompt_part> parts, time_point now) const;

    /// \brief Decides about a new request. One with a quarantined part is refused, unless the
    /// quarantine has ended and this router is entitled to try the part.
    /// \param routers Number of routers that may be running, at least 1.
    quarantine_decision admit(std::span<const prompt_part> parts, std::size_t routers,
                              time_point now);

    /// \returns The reports behind some of the quarantines, the next ones with each call, to be
    /// repeated for routers that have started since or have missed them.
    std::vector<part_report> reminders(time_point now);

    /// \returns The quarantined parts that were never served, with the crashes behind them.
    std::vector<quarantine_record> records(time_point now) const;

    /// \brief Drops reports that are too old to matter.
    void expire(time_point now);

    /// \returns Number of parts that are suspected of crashing engines and were never served.
    std::size_t quarantined(time_point now) const;

    /// \returns Number of parts with reports.
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::map<std::uint64_t, time_point> crashes; ///< When each crash happened.
        time_point served_at{-1000000000};           ///< Latest request that was served.
        time_point updated_at;                       ///< When a report was last applied.
        time_point ends_at{-1};                      ///< End of the quarantine.
        std::map<std::uint64_t, time_point> trials;  ///< Until when to wait for each trial.
        time_point trial_until{-1};                  ///< The latest of these.
        time_point repeated_at{-1000000000};
        bool proven = false; ///< A request with the part was served at some time.
        /// When the crashes since the last served request reached the minimum.
        std::optional<time_point> reached_at;
    };

    /// Crashes that are remembered of one part, the latest ones.
    static constexpr std::size_t max_crashes = 24;
    /// Trials of one part at the same time whose reports are passed on.
    static constexpr std::size_t max_trials = 16;
    /// Crashes of one part that are repeated to other routers.
    static constexpr std::size_t max_reminders = 8;

    /// Remembers the parts that were served most recently.
    class served_parts
    {
    public:
        explicit served_parts(std::size_t capacity) : capacity_(capacity) {}
        void add(std::uint64_t part, time_point at);
        std::optional<time_point> find(std::uint64_t part) const;

    private:
        std::size_t capacity_;
        std::unordered_map<std::uint64_t, time_point> recent_;
        std::unordered_map<std::uint64_t, time_point> older_;
    };

    std::size_t count_crashes(const entry& part) const;
    std::size_t min_crashes(const entry& part) const;
    millis trial_duration(const entry& part) const;
    millis trial_step(const entry& part) const;
    bool has_settled(const entry& part, time_point now) const;
    void update_reached(entry& part, time_point now);
    time_point find_end(const entry& part) const;
    bool blocks(const entry& part, std::span<const prompt_part> request, time_point now) const;
    bool may_try(std::uint64_t hash, const entry& part, std::size_t routers, time_point now) const;
    bool add_crash(const part_report& report, time_point now);
    std::vector<part_report> learn_crash(const part_report& report, time_point now);
    static bool add_trial(entry& part, std::uint64_t trial, time_point until, time_point now);
    bool add_served(const part_report& report, time_point now);
    static std::vector<part_report> list_crashes(std::uint64_t hash, const entry& part,
                                                 time_point now);
    void evict_oldest();

    std::uint64_t self_;
    prompt_quarantine_config config_;
    std::uint64_t last_reminded_ = 0; ///< Part that was repeated last.
    std::uint64_t trials_ = 0;        ///< Trials of this router, for their identifiers.
    std::unordered_map<std::uint64_t, entry> entries_;
    served_parts served_;
};

} // namespace endivestage
