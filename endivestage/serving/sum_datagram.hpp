/// \file
/// \brief Datagrams in which relays exchange sums over their followers.
#pragma once

#include <endivestage/routing/load_aggregator.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \brief What the sums of a datagram count; the first byte of the datagram.
enum class sum_kind : char
{
    loads = 'L',    ///< Open requests by engine.
    failures = 'F', ///< Routers that see the endpoint fail.
};

/// \brief Sums over the followers of one relay, by engine.
struct group_sums
{
    sum_kind kind = sum_kind::loads;
    std::uint64_t sender = 0; ///< Hash of the relay's id.
    std::vector<engine_requests> sums;
};

/// \returns The sums as one datagram. Those that do not fit are left out.
std::string encode_sums(sum_kind kind, std::uint64_t sender, std::span<const engine_requests> sums);

/// \returns The sums of a datagram; nothing if it is of another kind or too short.
std::optional<group_sums> decode_sums(std::string_view datagram);

} // namespace endivestage::serving
