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

/// \brief Source of a stamp or a body: the store or a peer.
struct configuration_source
{
    std::optional<router_id> peer; ///< Empty for the store.

    auto operator<=>(const configuration_source&) const = default;
};

/// \brief Action: fetch the newest stamp of the source; report the outcome with on_stamp or
/// on_unreachable.
struct fetch_stamp
{
    configuration_source source;
};

/// \brief Action: fetch a body by its digest; report the outcome with on_body or on_body_failed.
struct fetch_body
{
    configuration_stamp stamp;
    configuration_source source;
};

/// \brief Action: make this the active configuration immediately.
struct activate_configuration
{
    std::shared_ptr<const fleet_configuration> configuration;
};

using replica_action = std::variant<fetch_stamp, fetch_body, activate_configuration>;

/// \brief Readiness of the replica; the router may serve only when it is ready.
enum class replica_state
{
    asking,      ///< Answers of the store or of peers are outstanding.
    unreachable, ///< Neither the store nor a peer answered; they are asked again until one does.
    nothing_applied, ///< Sources answered that no configuration has been committed.
    fetching,        ///< The highest stamp is known, but its body has not arrived.
    ready,           ///< A configuration is active.
};

/// \returns The snake_case name of the state. Operators see the names, so they must not change.
std::string_view to_string(replica_state state);

/// \brief A router's replica of the configuration. Its version never decreases.
///
/// The first configuration is activated only when every source has answered or counts as
/// unreachable, and only if its version is the highest reported. Later on, each higher version is
/// activated as soon as its body arrives.
class configuration_replica
{
public:
    /// \param retry_interval Interval after which unanswered requests are repeated; positive.
    explicit configuration_replica(millis retry_interval = {500}) : retry_interval_(retry_interval)
    {
    }

    /// \brief Starts the replica: requests the stamps of the store and of every peer.
    /// \param peers Routers of the host list to ask; may be empty.
    std::vector<replica_action> start(const std::vector<router_id>& peers, time_point now);

    /// \brief Input: a stamp arrived as an answer or by push, gossip or polling.
    /// \param stamp Stamp of the source; version 0 if it has none.
    std::vector<replica_action> on_stamp(const configuration_source& source,
                                         const configuration_stamp& stamp, time_point now);

    /// \brief Input: a source did not answer fetch_stamp.
    std::vector<replica_action> on_unreachable(const configuration_source& source, time_point now);

    /// \brief Input: a body was fetched or pushed.
    ///
    /// A body whose digest or version differs from \p stamp is treated like a failed fetch.
    std::vector<replica_action> on_body(const configuration_source& source,
                                        const configuration_stamp& stamp, std::string_view body,
                                        time_point now);

    /// \brief Input: a source could not provide the body.
    std::vector<replica_action> on_body_failed(const configuration_source& source,
                                               const configuration_stamp& stamp, time_point now);

    /// \brief Repeats unanswered requests. Must be called at least once per retry interval.
    std::vector<replica_action> tick(time_point now);

    /// \returns The readiness. Once ready, the replica stays ready.
    replica_state state() const;

    /// \returns The active configuration, or null before the first activation.
    std::shared_ptr<const fleet_configuration> current() const { return active_; }

    /// \returns The stamp of the active configuration; version 0 before the first activation.
    const configuration_stamp& active_stamp() const { return active_stamp_; }

    /// \returns The highest stamp received; the one that gossip distributes.
    const configuration_stamp& highest_stamp() const { return highest_stamp_; }

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

    bool is_starting() const { return active_ == nullptr; }
    std::uint64_t newest_held_version() const;
    bool has_answer(answer value) const;
    void request_stamps(std::vector<replica_action>& actions, time_point now);
    void mark_silent_unreachable(time_point now);
    void record_stamp(const configuration_source& source, const configuration_stamp& stamp);
    void fetch_highest(std::vector<replica_action>& actions, time_point now);
    configuration_source next_source();
    bool store_pending(const configuration_stamp& stamp, std::string_view body);
    void activate_pending(std::vector<replica_action>& actions);
    std::vector<replica_action> advance(time_point now);

    millis retry_interval_;
    std::map<configuration_source, answer> answers_;
    time_point requested_at_;
    configuration_stamp highest_stamp_;
    configuration_stamp active_stamp_;
    /// Sources that reported the highest stamp.
    std::vector<configuration_source> body_sources_;
    body_fetch fetch_;
    configuration_stamp pending_stamp_;                  ///< Stamp of pending_.
    std::shared_ptr<const fleet_configuration> pending_; ///< Received, but not yet active.
    std::shared_ptr<const fleet_configuration> active_;
};

} // namespace endivestage
