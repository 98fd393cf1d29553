/// \file
/// \brief Idempotency keys and the settings of the ledger.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <string_view>

namespace endivestage
{

/// \brief Settings of the ledger; all routers of a region use the same values.
struct ledger_config
{
    /// Maximum age of a key; an older key is refused. Rows are kept longer than this.
    millis key_lifetime{24LL * 60 * 60 * 1000};
    /// Maximum difference between the wall clocks of two routers, or of a router and a caller.
    millis clock_skew{500};
    /// Time after a row's deadline from which any router may settle it. Must exceed clock_skew, so
    /// that a running attempt is not settled early.
    millis settle_margin{5000};
    /// Maximum time from the start of a request to its deadline. Bounds how long after the check of
    /// its key's age a request can still be sent.
    millis max_deadline{60LL * 60 * 1000};
    /// Number of consecutive table operations without progress after which the caller is answered.
    int max_tries = 5;
    /// Delay before the first retry of an operation; doubles with each retry.
    millis initial_retry_delay{20};
    /// Maximum delay between two tries.
    millis max_retry_delay{5000};
    /// Time after the answer to the caller during which writing the outcome is still retried.
    millis record_window{10LL * 60 * 1000};
    /// Maximum size of a body recorded in a row, in bytes.
    std::size_t max_recorded_body = 256UL * 1024;
};

/// \brief Reads the creation time from a key.
///
/// A key is either a UUID of version 7 or has the form `<ms>-<text>`, where `<ms>` is the
/// creation time in decimal milliseconds since the Unix epoch.
/// \returns The creation time, or errc::invalid_request if the key has neither form, is longer than
/// 200 bytes or contains characters other than printable ASCII without the space.
result<time_point> key_creation_time(std::string_view key);

/// \brief Checks the form and the age of a key.
/// \returns errc::ok; errc::invalid_request if the form is wrong or the key was created in the
/// future by more than the clock skew; errc::key_expired if it is older than
/// ledger_config::key_lifetime.
errc check_key(std::string_view key, time_point wall_now, const ledger_config& config);

} // namespace endivestage
