/// \file
/// \brief Settling of rows whose router is gone, and of unknown rows by an operator.
#pragma once

#include <endivestage/ledger/key.hpp>
#include <endivestage/ledger/row.hpp>

#include <optional>

namespace endivestage
{

/// \returns Whether the deadline of a row plus the settle margin has passed.
bool is_expired(const ledger_row& row, time_point wall_now, const ledger_config& limits);

/// \returns Whether a row may be erased: no attempt with its key can be accepted or sent any more.
bool is_erasable(const ledger_row& row, time_point wall_now, const ledger_config& limits);

/// \brief Rule 9: any router may settle an expired row.
/// \returns The compare-and-set to not_run (from reserved) or unknown (from sending); nothing when
/// the row is not expired, needs no settling or cannot be decoded.
std::optional<table_operation> settle_expired(const table_row& row, time_point wall_now,
                                              const ledger_config& limits);

/// \brief An operator states what became of an unknown request.
/// \param verdict done (with \p answer) or not_run.
/// \returns The compare-and-set, or errc::conflict when the row is not unknown or not yet expired,
/// errc::invalid_request for another verdict or a row that cannot be decoded.
result<table_operation> settle_unknown(const table_row& row, ledger_state verdict,
                                       const endpoint_result& answer, time_point wall_now,
                                       const ledger_config& limits);

} // namespace endivestage
