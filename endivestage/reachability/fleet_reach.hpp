/// \file
/// \brief Which other routers are cut off from the endpoints, by their own statements.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage
{

/// \brief A router's statement whether it is cut off from the endpoints.
struct reach_statement
{
    std::uint64_t incarnation = 0; ///< Run of the router that made the statement.
    bool cut_off = false;
};

/// \returns The statement as text.
std::string encode_reach(const reach_statement& statement);

/// \returns Nothing if the text is malformed.
std::optional<reach_statement> decode_reach(std::string_view text);

/// \brief Keeps the latest statements. Not thread-safe.
class fleet_reach
{
public:
    /// A router that is cut off repeats its statement, so that routers that start learn of it. One
    /// that has not been repeated for some time no longer counts.
    static constexpr millis repeat_interval{2000};
    static constexpr millis ttl{8000};

    /// \returns Whether the statement differs from the one before.
    bool record(const router_id& router, const reach_statement& statement, time_point now);

    /// \returns Whether the latest statement of a router, of whatever run, says that it is cut off.
    bool has_statement(const router_id& router) const { return entries_.contains(router); }

    /// \param incarnation Present run of the router. Statements of earlier runs do not count.
    bool is_cut_off(const router_id& router, std::uint64_t incarnation, time_point now) const;

private:
    struct entry
    {
        reach_statement statement;
        time_point at;
    };

    std::map<router_id, entry> entries_;
};

} // namespace endivestage
