#include <endivestage/serving/crash_report.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/endpoint_check.hpp>

#include <memory>
#include <span>
#include <string>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis probe_timeout{250};

std::string join_hashes(std::span<const prompt_part> parts)
{
    std::string text;
    for (const prompt_part& part : parts)
    {
        text += (text.empty() ? "" : ",") + std::to_string(part.hash);
    }
    return text;
}

/// Other endpoints that are asked before an engine counts as crashed.
constexpr std::size_t max_other_endpoints = 3;

// A router that is cut off is refused by engines that are well.
awaitable<bool> reaches_another(boost::asio::any_io_executor executor, router_state& state,
                                endpoint_record engine)
{
    const time_point began = state.time.now();
    std::vector<endpoint_record> others;
    for (const endpoint_state* other : state.endpoints.available(engine.service, began))
    {
        if (other->record.id != engine.id && other->consecutive_failures == 0)
        {
            others.push_back(other->record);
        }
    }
    if (others.empty())
    {
        co_return true; // Nothing to compare with.
    }
    for (std::size_t n = 0; n < max_other_endpoints && !others.empty(); ++n)
    {
        const std::size_t chosen = state.random.below(others.size());
        const endpoint_record other = others[chosen];
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
        checked_connection checked = co_await open_checked(executor, state, other);
        if (checked.connection)
        {
            keep_checked(state, other, std::move(checked.connection));
            co_return true;
        }
        state.record_connection(other.id, checked.reset ? connection_result::reset
                                                        : connection_result::failed);
    }
    co_return false;
}

} // namespace

// A connection can end although its engine is well, so an engine counts as crashed only if its host
// refuses a new connection. No answer may as well be the network's fault.
awaitable<void> report_crash(boost::asio::any_io_executor executor, router_state& state,
                             endpoint_record engine, std::vector<prompt_part> parts)
{
    const time_point broken_at = state.time.now();
    daemon::http_connection probe(executor);
    daemon::network_address address{engine.host, engine.port};
    const std::error_code ec =
        co_await probe.connect(std::move(address), probe_timeout, probe_timeout);
    if (!ec || !probe.refused())
    {
        co_return;
    }
    state.record_connection(engine.id, connection_result::failed);
    const bool reaches_others = co_await reaches_another(executor, state, engine);
    if (!reaches_others)
    {
        log_event(log_level::info, "crash_unconfirmed", {{"endpoint", engine.id}});
        co_return;
    }
    const std::uint64_t crash =
        hash64(engine.id.view(), static_cast<std::uint64_t>(engine.started_at));
    const time_point now = state.time.now();
    state.announce(state.quarantine.record_crash(parts, crash, now - broken_at, now));
    log_event(log_level::warning, "engine_crashed",
              {{"endpoint", engine.id},
               {"parts", join_hashes(parts)},
               {"quarantined", state.quarantine.contains(parts, state.time.now())},
               {"confirmed_after_ms", state.time.now() - broken_at}});
}

} // namespace endivestage::serving
