/// \file
/// \brief Umbrella header of the ledger module: runs non-idempotent requests at most once.
///
/// Each request has a row in the table, named by the team and the caller's idempotency key. An
/// attempt changes the row before it sends anything, so that other attempts with the same key can
/// see whether the request may have run.
///
/// Contents:
///  - ledger_state, ledger_row, encode_row, decode_row, row_key (ledger/row.hpp): the table row
///  - ledger_config, check_key (ledger/key.hpp): settings; format and age of idempotency keys
///  - request_attempt (ledger/attempt.hpp): state machine of one attempt of a request
///  - settle_expired, settle_unknown (ledger/settle.hpp): settling of rows whose router has stopped
///    working on them
///  - write_batch (ledger/write_batch.hpp): grouping of table operations into transactions
///
/// \sa ledger/GUIDE.md
#pragma once

#include <endivestage/ledger/attempt.hpp>
#include <endivestage/ledger/key.hpp>
#include <endivestage/ledger/row.hpp>
#include <endivestage/ledger/settle.hpp>
#include <endivestage/ledger/write_batch.hpp>
