#include <endivestage/serving/start_gate.hpp>

#include <endivestage/daemon/logging.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

std::string_view to_string(start_outcome outcome)
{
    switch (outcome)
    {
    case start_outcome::released:
        return "released";
    case start_outcome::refused:
        return "refused";
    case start_outcome::left:
        return "left";
    case start_outcome::stopped:
        break;
    }
    return "stopped";
}

awaitable<start_outcome> start_gate::wait(waiting_request waiting)
{
    const std::optional<start_hold::request_number> number =
        hold_.add(waiting.request, time_->now());
    if (!number)
    {
        ++ended_[start_outcome::refused];
        co_return start_outcome::refused;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(
        std::chrono::milliseconds((hold_.latest_release(*number) - time_->now()).count));
    waiters_[*number] = {&timer, &waiting, start_outcome::refused};
    if (waiting.leave != nullptr)
    {
        *waiting.leave = [this, number = *number]
        {
            hold_.remove(number);
            finish(number, start_outcome::left);
        };
    }
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    // Not done by a destructor: suspended coroutines may be destroyed after the gate.
    if (waiting.leave != nullptr)
    {
        *waiting.leave = nullptr;
    }
    hold_.remove(*number);
    const start_outcome outcome = waiters_.at(*number).outcome;
    waiters_.erase(*number);
    ++ended_[outcome];
    co_return outcome;
}

void start_gate::finish(start_hold::request_number number, start_outcome outcome)
{
    const auto it = waiters_.find(number);
    if (it != waiters_.end())
    {
        it->second.outcome = outcome;
        it->second.timer->cancel();
    }
}

void start_gate::open()
{
    const std::size_t held_bytes = hold_.bytes();
    const std::vector<start_hold::request_number> released =
        hold_.release([this](start_hold::request_number number)
                      { return waiters_.at(number).request->priority(); });
    if (!released.empty())
    {
        log_event(log_level::info, "held_requests_released",
                  {{"requests", released.size()}, {"bytes", held_bytes}});
    }
    // Handlers of timers run in the order in which the timers are cancelled.
    for (const start_hold::request_number number : released)
    {
        finish(number, start_outcome::released);
    }
}

void start_gate::stop()
{
    for (const std::pair<const start_hold::request_number, waiter>& entry : waiters_)
    {
        if (entry.second.outcome == start_outcome::refused)
        {
            hold_.remove(entry.first);
            finish(entry.first, start_outcome::stopped);
        }
    }
}

void start_gate::postpone(time_point at_earliest)
{
    const std::vector<start_hold::request_number> refused = hold_.postpone(at_earliest);
    if (!refused.empty())
    {
        log_event(log_level::warning, "held_requests_refused", {{"requests", refused.size()}});
    }
    for (const start_hold::request_number number : refused)
    {
        finish(number, start_outcome::refused);
    }
}

void record_start_gate(const start_gate& gate, router_metrics& metrics)
{
    metrics.set_held_requests(gate.hold().size(), gate.hold().bytes());
    for (const std::pair<const start_outcome, std::uint64_t>& ended : gate.ended())
    {
        metrics.set_ended_waits(to_string(ended.first), ended.second);
    }
}

} // namespace endivestage::serving
