/// \file
/// \brief Tells a silent connection from a dead endpoint.
#pragma once

#include <endivestage/core.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief Limits of a stall_detector.
struct stall_config
{
    millis progress_timeout{3000}; ///< Time without progress before the connection is doubted.
    millis probe_timeout{1000}; ///< Time after which a missing ping or resume answer is a failure.
    int max_rounds = 3;         ///< Consecutive rounds without progress before the stream fails.
};

/// \brief Action: ping the endpoint over a new connection.
struct ping_endpoint
{
};

/// \brief Action: resume the stream over a new connection, in parallel with the ping.
struct resume_on_new_connection
{
};

/// \brief Action: ping and resume both failed.
struct suspect_endpoint
{
};

/// \brief Action: the endpoint answers pings but the stream makes no progress.
struct abandon_stream
{
};

using stall_action =
    std::variant<ping_endpoint, resume_on_new_connection, suspect_endpoint, abandon_stream>;
using stall_actions = std::vector<stall_action>;

/// \brief Watches one stream.
class stall_detector
{
public:
    /// \param now Begin of the stream.
    stall_detector(const stall_config& limits, time_point now);

    /// \brief A new byte of the answer arrived.
    void on_progress(time_point now);

    /// \brief Time spent waiting for a slow caller is not a stall of the endpoint.
    void set_paused(bool paused, time_point now);

    /// \brief Takes the answer to ping_endpoint.
    stall_actions on_ping(bool succeeded, time_point now);

    /// \brief Takes the answer to resume_on_new_connection: whether the endpoint accepted it.
    stall_actions on_resume(bool succeeded, time_point now);

    /// \brief Call at next_tick or later.
    stall_actions on_tick(time_point now);

    /// \returns When on_tick has work; nothing while paused or after the end.
    std::optional<time_point> next_tick() const;

private:
    enum class state
    {
        watching,
        probing,
        ended,
    };

    stall_actions judge(time_point now);
    stall_actions next_round(time_point now);
    void watch(time_point now);

    stall_config limits_;
    state state_ = state::watching;
    time_point since_;
    std::optional<bool> ping_;
    std::optional<bool> resume_;
    int rounds_ = 0;
    bool paused_ = false;
};

} // namespace endivestage
