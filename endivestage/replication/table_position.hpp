/// \file
/// \brief Position in the changes of a table.
#pragma once

#include <compare>
#include <cstdint>

namespace endivestage
{

/// \brief A revision of a table and the era of the table service that it belongs to.
///
/// After a restore from an older copy the service gives out revisions again, and begins another
/// era. Revisions of different eras must not be compared.
struct table_position
{
    table_position() = default;

    /// \param revision_number Revision.
    /// \param era_number Era; 0 for a service that states none.
    table_position(std::uint64_t revision_number, std::uint64_t era_number = 0)
        : era(era_number),
          revision(revision_number)
    {
    }

    auto operator<=>(const table_position&) const = default;

    std::uint64_t era = 0; ///< Declared first, so that it decides the order.
    std::uint64_t revision = 0;
};

} // namespace endivestage
