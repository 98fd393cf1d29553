/// \file
/// \brief Operations on the platform's table service, as typed values.
///
/// State machines of the library return table_operation values as actions and receive table_result
/// values as inputs; an adapter executes the operations on the service.
#pragma once

#include <cstdint>
#include <string>

namespace endivestage
{

/// \brief One row of the table service.
struct table_row
{
    std::string key;
    std::uint64_t version = 0; ///< Increases by one with each write of the row; 0 means no row.
    std::string value;
};

/// \brief A conditional operation on one row, which the service applies atomically.
struct table_operation
{
    enum class kind
    {
        read,    ///< Returns the row.
        insert,  ///< Succeeds only when no row has this key.
        replace, ///< Succeeds only when the row has expected_version.
        erase,   ///< Succeeds only when the row has expected_version.
    };

    kind what = kind::read;
    std::string key;
    std::uint64_t expected_version = 0; ///< Used by replace and erase.
    std::string value;                  ///< Used by insert and replace.
};

/// \brief Result of a table_operation.
struct table_result
{
    enum class outcome
    {
        applied,     ///< Took effect; row is the row afterwards. A read found the row.
        conflict,    ///< Had no effect, since its condition failed; row is the row found.
        not_found,   ///< A read, replace or erase found no row.
        unavailable, ///< Had no effect: the request was never sent or was refused.
        lost,        ///< No answer was received: it may or may not have taken effect.
    };

    outcome what = outcome::unavailable;
    table_row row;
};

} // namespace endivestage
