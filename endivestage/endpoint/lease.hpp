/// \file
/// \brief A lease row in the table service with a fencing number.
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
    millis duration{10'000}; ///< Counted from the moment the write was sent.
    millis renewal_interval{
        3'000}; ///< Interval of renewals while held, and of reads while not held.
    millis safety_margin{
        1'000}; ///< The holder stops this long before the end; others wait it longer.
};

/// \brief Keeps or waits for one lease.
///
/// Clocks of two routers are not compared: a successor counts the lease from the moment it first
/// read the present row version, which is never before the holder sent it.
class lease_manager
{
public:
    /// \param key Row key of the lease.
    /// \param self The router that wants the lease.
    lease_manager(std::string key, router_id self, lease_config settings = {});

    /// \returns The next operation for the table, if any; at most one is outstanding.
    std::optional<table_operation> tick(time_point now);

    /// \brief Input: the answer to the outstanding operation.
    void on_table_result(const table_result& answer, time_point now);

    /// \returns Whether orders may be sent at \p now: held, and not within the margin of its end.
    bool is_held(time_point now) const;

    /// \returns When held turns false without a renewal. Precondition: held.
    time_point expires_at() const;

    /// \returns The number of the present or last tenure; grows with each take-over. 0: none yet.
    std::uint64_t fencing_token() const { return fencing_; }

private:
    enum class waiting
    {
        nothing,
        read,
        write,
    };

    table_operation read();
    table_operation write(std::uint64_t fencing_token, time_point now);
    bool own(const table_row& row) const;
    bool may_take(time_point now) const;
    void settle(const table_row& row, time_point now);

    std::string key_;
    router_id self_;
    lease_config settings_;
    waiting waiting_ = waiting::nothing;
    time_point next_;
    std::optional<table_row> seen_; ///< Row last read; version 0 when there is none.
    time_point seen_since_;         ///< When this row version was first read.
    bool unsettled_ = false;        ///< Whether the outcome of the last write is not known.
    std::string written_;           ///< Value of the last write.
    time_point written_at_;
    std::uint64_t writes_ = 0; ///< Numbers the writes, to know which one the row holds.
    std::optional<time_point> held_from_;
    std::uint64_t fencing_ = 0;
};

} // namespace endivestage
