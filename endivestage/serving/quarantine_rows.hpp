/// \file
/// \brief Rows of the routers' table that hold records of quarantined parts of prompts.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \returns The key of a part's row. Its prefix tells it from the rows of routers.
std::string quarantine_row_key(std::uint64_t part);

/// \returns The part of a row with such a key; nothing for other rows of the table.
std::optional<std::uint64_t> parse_quarantine_row_key(std::string_view key);

/// \returns The row's data. Ages are as of the write.
std::string encode_quarantine_row(const quarantine_record& record);

/// \returns The record, or errc::invalid_request if the data cannot be read.
result<quarantine_record> decode_quarantine_row(std::uint64_t part, std::string_view data);

} // namespace endivestage::serving
