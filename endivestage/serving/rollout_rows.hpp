/// \file
/// \brief Encoding of roll-outs: rows of the routers' table, and counts between routers.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/rollout.hpp>

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \returns The key of a service's row. Its prefix tells it from the rows of routers.
std::string rollout_row_key(const service_id& service);

/// \returns The service of a row with such a key; nothing for other rows of the table.
std::optional<service_id> parse_rollout_row_key(std::string_view key);

std::string encode_rollout_row(const rollout_record& record);

/// \returns The record, or errc::invalid_request if the data cannot be read.
result<rollout_record> decode_rollout_row(const service_id& service, std::string_view data);

/// \brief Counts of one roll-out.
struct rollout_counts
{
    service_id service;
    table_position order;
    evidence_counts counts;
};

boost::json::object encode_rollout_counts(const rollout_counts& counts);

/// \returns The counts; entries that cannot be read are left out.
rollout_counts decode_rollout_counts(const boost::json::object& encoded);

} // namespace endivestage::serving
