/// \file
/// \brief Converts a merged document to a fleet_configuration and checks rules that involve several
/// entries.
#pragma once

#include <endivestage/configuration/internal/document.hpp>
#include <endivestage/configuration/model.hpp>

namespace endivestage::internal
{

/// \returns The configuration in \p document. Missing keys, dangling references and duplicates are
///     added to \p faults.
fleet_configuration build_configuration(const merged_document& document, fault_list& faults);

} // namespace endivestage::internal
