/// \file
/// \brief Which endpoints fail when they have to reject too many requests, by their own answers.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing/endpoint_directory.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage
{

/// \returns The text of a rejection limit for other routers.
std::string encode_rejection_limit(std::uint32_t per_second);

/// \returns Nothing unless the text is a positive number.
std::optional<std::uint32_t> decode_rejection_limit(std::string_view text);

/// \brief Rejection limits that endpoints state in their answers, and those of their services that
/// other routers announce.
///
/// A statement ends `ttl` after the last answer or announcement that repeated it. An answer
/// without one ends it for its endpoint at once. Not thread-safe.
class brittle_endpoints
{
public:
    static constexpr millis ttl{8000};
    /// Statements are announced this often, by whichever router gets the first answer then.
    static constexpr millis repeat_interval{2000};

    /// \brief Records an answer.
    /// \param per_second Rejections that the endpoint tolerates in a second; nothing if it does not
    /// state a limit.
    /// \returns The limit of the service to be announced now, if any.
    std::optional<std::uint32_t> record_answer(const endpoint_record& endpoint,
                                               std::optional<std::uint32_t> per_second,
                                               time_point now);

    /// \brief Records the announcement of another router.
    /// \returns Whether the service was not known to be brittle.
    bool record_announcement(const service_id& service, std::uint32_t per_second, time_point now);

    /// \returns The limit of an endpoint: its own, or else the lowest of its service; nothing if
    /// neither is in force.
    std::optional<std::uint32_t> limit(const endpoint_record& endpoint, time_point now) const;

    /// \returns The number of services that are brittle at present.
    std::size_t services(time_point now) const;

    /// \brief Drops what has ended.
    void expire(time_point now);

private:
    struct service_statement
    {
        std::uint32_t per_second = 0;
        time_point stated_at;
        time_point announced_at; ///< By this router or another one.
    };

    struct endpoint_answer
    {
        std::optional<std::uint32_t> per_second;
        time_point at;
    };

    /// \returns Whether the statement is new.
    bool record_statement(const service_id& service, std::uint32_t per_second, time_point now);

    std::map<service_id, service_statement> services_;
    std::map<endpoint_id, endpoint_answer> answers_;
};

} // namespace endivestage
