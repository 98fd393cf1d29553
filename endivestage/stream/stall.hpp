/// \file
/// \brief Distinguishes a stalled connection from a failed endpoint.
#pragma once

#include <endivestage/core.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief Timeouts and limits of a stall_detector.
struct stall_config
{
    /// Time without progress after which the endpoint is probed.
    millis progress_timeout{3000};
    /// Time after which a ping or resume without a result counts as failed.
    millis probe_timeout{1000};
    /// Consecutive rounds of probing without progress after which the stream is abandoned.
    int max_rounds = 3;
};

/// \brief Action: ping the endpoint over a new connection.
struct ping_endpoint
{
};

/// \brief Action: resume the stream over a new connection, in parallel with the ping.
struct resume_on_new_connection
{
};

/// \brief Action: suspect the endpoint, since ping and resume both failed.
struct suspect_endpoint
{
};

/// \brief Action: abandon the stream, since it makes no progress although the endpoint responds.
struct abandon_stream
{
};

using stall_action =
    std::variant<ping_endpoint, resume_on_new_connection, suspect_endpoint, abandon_stream>;
using stall_actions = std::vector<stall_action>;

/// \brief Detects that one stream makes no progress.
///
/// After progress_timeout without a new byte, one round of probing starts: a ping and a resume,
/// both over new connections. The endpoint is suspected only if both fail.
class stall_detector
{
public:
    /// \param now Start time of the stream.
    stall_detector(const stall_config& config, time_point now);

    /// \brief Records that a new byte of the answer arrived.
    void on_progress(time_point now);

    /// \brief Pauses or continues the detection. Time spent waiting for a slow caller does not
    /// count as a stall of the endpoint.
    void set_paused(bool paused, time_point now);

    /// \brief Processes the result of ping_endpoint.
    stall_actions on_ping(bool succeeded, time_point now);

    /// \brief Processes the result of resume_on_new_connection: whether the endpoint accepted it.
    stall_actions on_resume(bool succeeded, time_point now);

    /// \brief Processes expired timeouts. To be called at next_tick or later.
    stall_actions on_tick(time_point now);

    /// \returns Time at which on_tick has to be called; nothing after the end, or while paused and
    /// not probing.
    std::optional<time_point> next_tick() const;

private:
    enum class state
    {
        watching,
        probing,
        ended,
    };

    stall_actions evaluate_probe(time_point now);
    stall_actions finish_round(time_point now);
    void start_watching(time_point now);

    stall_config config_;
    state state_ = state::watching;
    time_point timer_start_;
    std::optional<bool> ping_succeeded_;
    std::optional<bool> resume_succeeded_;
    int rounds_without_progress_ = 0;
    bool paused_ = false;
};

} // namespace endivestage
