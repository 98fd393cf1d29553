/// \file
/// \brief What the services of one router process share.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/event_recorder.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/daemon/metrics.hpp>
#include <endivestage/daemon/peer_rpc.hpp>
#include <endivestage/daemon/platform_client.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/daemon/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <mutex>

namespace endivestage::daemon
{

/// \brief Random numbers of the process. Thread-safe.
class shared_random final : public random_source
{
public:
    explicit shared_random(std::uint64_t seed) : source_(seed) {}

    std::uint64_t next() override
    {
        const std::scoped_lock lock(mutex_);
        return source_.next();
    }

private:
    std::mutex mutex_;
    seeded_random source_;
};

/// \brief Shared parts of a router process; outlives all services.
///
/// Each service guards its tables with one mutex of its own. A thread that needs several takes them
/// in this order: configuration, cluster (membership and view), admission, requests. No mutex is
/// held while a coroutine is suspended or a callback of another service runs.
struct node_context
{
    boost::asio::io_context& io;
    const router_settings& settings;
    const clock& time;
    random_source& random;
    metrics_registry& metrics;
    event_recorder& events;
    peer_rpc& rpc;
    platform_client& platform;
    std::uint64_t incarnation = 0; ///< Wall time of the start in milliseconds.
};

/// \brief Runs a coroutine on a strand of its own; an exception that leaves it is logged.
void spawn(boost::asio::io_context& io, std::function<awaitable<void>()> work);

/// \brief Runs \p work again and again, \p period after the last run ended.
void spawn_loop(boost::asio::io_context& io, millis period, std::function<awaitable<void>()> work);

} // namespace endivestage::daemon
