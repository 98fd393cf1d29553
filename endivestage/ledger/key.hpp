/// \file
/// \brief Idempotency keys and the limits of the ledger.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <string_view>

namespace endivestage
{

/// \brief Limits of the ledger; all routers of a region use the same values.
struct ledger_config
{
    /// Age at which a key is refused; rows are kept longer than this.
    millis key_lifetime{24LL * 60 * 60 * 1000};
    /// Largest difference between the wall clocks of two routers, or of a router and a caller.
    millis clock_skew{500};
    /// Time past a row's deadline after which any router may settle it. Above clock_skew, so that
    /// a live attempt is not settled early.
    millis settle_margin{5000};
    /// Longest time that a request may have; bounds how long after the check of its age a key can
    /// still be sent.
    millis max_deadline{60LL * 60 * 1000};
    /// Consecutive table operations without progress before the caller is answered.
    int max_tries = 5;
    /// First pause before an operation is repeated; doubles with each try.
    millis initial_retry_delay{20};
    /// Longest pause between two tries.
    millis max_retry_delay{5000};
    /// Time after the answer during which an outcome is still offered to the table.
    millis record_window{10LL * 60 * 1000};
    /// Largest body recorded in a row, in bytes.
    std::size_t max_recorded_body = 256UL * 1024;
};

/// \brief Creation time that a key carries.
///
/// A key is either a UUID of version 7 or has the form `<ms>-<text>`, where `<ms>` is the
/// creation time in decimal milliseconds since the Unix epoch.
/// \returns The creation time, or errc::invalid_request when the key has neither form, is longer
/// than 200 bytes or has characters other than printable ASCII.
result<time_point> key_creation_time(std::string_view key);

/// \brief Checks form and age of a key.
/// \returns errc::ok, errc::invalid_request (form, or created in the future by more than the
/// clock skew) or errc::key_expired.
errc check_key(std::string_view key, time_point wall_now, const ledger_config& limits);

} // namespace endivestage
