/// \file
/// \brief Builds typed values from a merged document and checks what spans several entries.
#pragma once

#include <endivestage/configuration/internal/document.hpp>
#include <endivestage/configuration/model.hpp>

namespace endivestage::internal
{

/// \returns The configuration of \p document; missing keys, dangling references and duplicates are
///     added to \p faults.
fleet_configuration build_configuration(const merged_document& document, fault_list& faults);

} // namespace endivestage::internal
