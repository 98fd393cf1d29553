/// \file
/// \brief A router's copy of the configuration.
#pragma once

#include <endivestage/configuration/model.hpp>
#include <endivestage/configuration/record.hpp>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief Where a stamp or a body comes from: the store, or a peer.
struct configuration_source
{
    std::optional<router_id> peer; ///< None: the store.

    auto operator<=>(const configuration_source&) const = default;
};

/// \brief Action: ask for the newest stamp; answer with on_stamp or on_unreachable.
struct fetch_stamp
{
    configuration_source source;
};

/// \brief Action: fetch a body by its digest; answer with on_body or on_body_failed.
struct fetch_body
{
    configuration_stamp stamp;
    configuration_source source;
};

/// \brief Action: put this configuration in force at once.
struct activate_configuration
{
    std::shared_ptr<const fleet_configuration> configuration;
};

using replica_action = std::variant<fetch_stamp, fetch_body, activate_configuration>;

/// \brief Whether the router may serve, and if not, why.
enum class replica_state
{
    asking,          ///< Answers of the store or of peers are still outstanding.
    unreachable,     ///< Neither the store nor a peer answered; asked again until one does.
    nothing_applied, ///< Answers came, and no configuration was ever committed.
    fetching,        ///< The highest stamp is known, its body is not yet here.
    ready,           ///< A configuration is in force.
};

/// \returns The stable snake_case name of a state.
std::string_view to_string(replica_state state);

/// \brief Keeps the highest version seen and never goes back.
class configuration_replica
{
public:
    /// \param retry Interval after which unanswered questions and fetches are repeated; positive.
    explicit configuration_replica(millis retry = {500}) : retry_(retry) {}

    /// \brief Starts: asks the store and every peer for their stamps.
    /// \param peers Some routers of the host list; may be empty.
    std::vector<replica_action> start(const std::vector<router_id>& peers, time_point now);

    /// \brief Input: a stamp arrived by answer, push, gossip or polling.
    /// \param stamp Version 0 when the source has none.
    std::vector<replica_action> on_stamp(const configuration_source& source,
                                         const configuration_stamp& stamp, time_point now);

    /// \brief Input: a source did not answer a fetch_stamp.
    std::vector<replica_action> on_unreachable(const configuration_source& source, time_point now);

    /// \brief Input: a fetched or pushed body.
    ///
    /// A body whose digest or version differs from \p stamp is treated like a failed fetch.
    std::vector<replica_action> on_body(const configuration_source& source,
                                        const configuration_stamp& stamp, std::string_view body,
                                        time_point now);

    /// \brief Input: a source could not deliver the body.
    std::vector<replica_action> on_body_failed(const configuration_source& source,
                                               const configuration_stamp& stamp, time_point now);

    /// \brief Repeats what got no answer. Call at least every retry interval.
    std::vector<replica_action> tick(time_point now);

    /// \returns Whether the router may serve. Once ready, it stays ready.
    replica_state state() const;

    /// \returns The configuration in force, or null before the first one.
    std::shared_ptr<const fleet_configuration> current() const { return current_; }

    /// \returns The stamp in force; version 0 before the first one.
    const configuration_stamp& active_stamp() const { return in_force_; }

    /// \returns The highest stamp heard of; what gossip spreads.
    const configuration_stamp& highest_stamp() const { return highest_; }

private:
    enum class answer
    {
        none,
        unreachable,
        stamp,
    };

    struct body_fetch
    {
        bool outstanding = false;
        time_point sent;
        std::size_t attempt = 0;
    };

    bool starting() const { return current_ == nullptr; }
    std::uint64_t have() const;
    bool any(answer value) const;
    void ask(std::vector<replica_action>& actions, time_point now);
    void give_up_on_silent(time_point now);
    void raise(const configuration_source& source, const configuration_stamp& stamp);
    void fetch(std::vector<replica_action>& actions, time_point now);
    configuration_source next_source();
    bool accept(const configuration_stamp& stamp, std::string_view body);
    void adopt_if_allowed(std::vector<replica_action>& actions);
    std::vector<replica_action> proceed(time_point now);

    millis retry_;
    std::map<configuration_source, answer> asked_;
    time_point asked_at_;
    configuration_stamp highest_;
    configuration_stamp in_force_;
    std::vector<configuration_source> holders_; ///< Sources that named the highest stamp.
    body_fetch fetch_;
    configuration_stamp pending_stamp_; ///< Of a body that is here and not yet in force.
    std::shared_ptr<const fleet_configuration> pending_;
    std::shared_ptr<const fleet_configuration> current_;
};

} // namespace endivestage
