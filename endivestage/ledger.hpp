/// \file
/// \brief Umbrella header of the ledger module: non-idempotent requests run at most once.
///
/// Contents:
///  - ledger_state, ledger_row, encode_row, decode_row, row_key (ledger/row.hpp): the table row
///  - ledger_config, check_key (ledger/key.hpp): format and age of idempotency keys, limits
///  - request_attempt (ledger/attempt.hpp): state machine of one attempt of a request
///  - settle_expired, settle_unknown (ledger/settle.hpp): settling of rows whose router is gone
///  - write_batch (ledger/write_batch.hpp): grouping of table operations into transactions
///
/// \sa ledger/GUIDE.md
#pragma once

#include <endivestage/ledger/attempt.hpp>
#include <endivestage/ledger/key.hpp>
#include <endivestage/ledger/row.hpp>
#include <endivestage/ledger/settle.hpp>
#include <endivestage/ledger/write_batch.hpp>
