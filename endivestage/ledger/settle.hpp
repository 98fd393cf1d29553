/// \file
/// \brief Settling of expired rows by any router, and of unknown rows by an operator.
#pragma once

#include <endivestage/ledger/key.hpp>
#include <endivestage/ledger/row.hpp>

#include <optional>

namespace endivestage
{

/// \returns Whether the deadline of a row plus the settle margin has passed.
bool is_expired(const ledger_row& row, time_point wall_now, const ledger_config& config);

/// \returns Whether a row may be erased: no attempt with its key can be accepted or sent anymore.
bool is_erasable(const ledger_row& row, time_point wall_now, const ledger_config& config);

/// \brief Settles an expired row. Any router may do this, since the row's attempt sends nothing
/// after its deadline.
/// \returns The compare-and-set to not_run (from reserved) or unknown (from sending); nothing if
/// the row is not expired, needs no settling or cannot be decoded.
std::optional<table_operation> settle_expired(const table_row& row, time_point wall_now,
                                              const ledger_config& config);

/// \brief Settles an unknown row with the outcome that an operator has determined.
/// \param final_state done (with \p answer) or not_run.
/// \returns The compare-and-set; errc::conflict if the row is not unknown or not yet expired;
/// errc::invalid_request for another state or a row that cannot be decoded.
result<table_operation> settle_unknown(const table_row& row, ledger_state final_state,
                                       const endpoint_result& answer, time_point wall_now,
                                       const ledger_config& config);

} // namespace endivestage
