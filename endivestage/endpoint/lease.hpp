/// \file
/// \brief A lease in a row of the table service, with a fencing token.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/core/table.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace endivestage
{

/// \brief Times of a lease.
struct lease_config
{
    /// Validity of a lease, counted from the moment its write was sent.
    millis duration{10'000};
    /// Interval of renewals while the lease is held, and of reads while it is not.
    millis renewal_interval{3'000};
    /// The holder stops using the lease this long before its end; a successor waits this much
    /// longer.
    millis safety_margin{1'000};
};

/// \brief Acquires and renews one lease.
///
/// The clocks of two routers are never compared: a successor counts the duration of the lease from
/// the moment it first read the current row version, which is never before the holder sent that
/// write.
class lease_manager
{
public:
    /// \param key Row key of the lease.
    /// \param self Id of this router.
    lease_manager(std::string key, router_id self, lease_config config = {});

    /// \returns The next operation for the table service, if any; at most one is outstanding.
    std::optional<table_operation> tick(time_point now);

    /// \brief Processes the result of the outstanding operation.
    void on_table_result(const table_result& answer, time_point now);

    /// \returns Whether this router holds the lease at \p now, and the safety margin before its end
    /// has not begun.
    bool is_held(time_point now) const;

    /// \returns When is_held becomes false without a renewal. Must be called only while the lease
    /// is held.
    time_point expires_at() const;

    /// \returns The fencing token of this router's current or last tenure as holder; 0 before the
    /// first. It increases each time the lease is acquired.
    std::uint64_t fencing_token() const { return fencing_token_; }

private:
    enum class pending
    {
        none,
        read,
        write,
    };

    table_operation read();
    table_operation write(std::uint64_t fencing_token, time_point now);
    bool is_own(const table_row& row) const;
    bool can_acquire(time_point now) const;
    void update(const table_row& row, time_point now);

    std::string key_;
    router_id self_;
    lease_config config_;
    pending pending_ = pending::none;
    time_point next_operation_;
    std::optional<table_row> last_row_;  ///< Row last read; version 0 when there is none.
    time_point version_seen_since_;      ///< When the version of last_row_ was first read.
    bool write_outcome_unknown_ = false; ///< Whether the outcome of the last write is unknown.
    std::string written_value_;          ///< Value of the last write.
    time_point written_at_;              ///< When the last write was sent.
    std::uint64_t write_count_ = 0; ///< Numbers the writes, so that a row shows which one it holds.
    std::optional<time_point> held_from_;
    std::uint64_t fencing_token_ = 0;
};

} // namespace endivestage
