#include <endivestage/serving/exchange.hpp>

#include <endivestage/daemon/logging.hpp>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <limits>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

/// Room that comes by other routers' requests or by new endpoints is noticed within this time;
/// room by this router's own requests at once.
constexpr millis room_poll_interval{20};
/// Other routers can serve the request at once.
constexpr millis retry_after_stop{50};

/// The place of a request in the queue of its service. It is given up also when the coroutine is
/// destroyed while it waits.
class waiting_place
{
public:
    waiting_place(const std::shared_ptr<service_overload>& service, std::uint64_t number,
                  asio::steady_timer& timer)
        : service_(service),
          number_(number)
    {
        service->add_sleeper(number_, timer);
    }
    ~waiting_place()
    {
        const std::shared_ptr<service_overload> service = service_.lock();
        if (service)
        {
            service->remove_sleeper(number_);
        }
    }
    waiting_place(const waiting_place&) = delete;
    waiting_place& operator=(const waiting_place&) = delete;

private:
    std::weak_ptr<service_overload> service_;
    std::uint64_t number_;
};

} // namespace

std::uint32_t exchange::find_priority() const
{
    const route* found =
        state_.routes ? state_.routes->find(decoded_.host, decoded_.path) : nullptr;
    if (found == nullptr)
    {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const team_access* team = state_.routes->find_team(decoded_.api_key);
    const bool keyed = state_.routes->requires_keys() && !found->anonymous;
    return keyed && team != nullptr ? team->priority.value_or(found->priority) : found->priority;
}

awaitable<bool> exchange::wait_for_tables()
{
    watch_caller();
    start_gate::waiting_request waiting;
    waiting.request.bytes = request_.target.size() + body_->size();
    for (const std::pair<std::string, std::string>& field : request_.fields)
    {
        waiting.request.bytes += field.first.size() + field.second.size();
    }
    waiting.request.received = request_.received;
    waiting.request.timeout = decoded_.timeout;
    waiting.priority = [this]
    {
        return find_priority();
    };
    waiting.leave = &leave_start_gate_;
    const unrouted_request request = waiting.request;
    start_outcome outcome = start_outcome::left;
    if (!caller_left_)
    {
        outcome = co_await state_.start.wait(std::move(waiting));
    }
    switch (outcome)
    {
    case start_outcome::released:
        co_return true;
    case start_outcome::left:
        end_without_caller();
        break;
    case start_outcome::stopped:
        co_await send_error(503, errc::shutting_down, execution::not_run, retry_after_stop);
        break;
    case start_outcome::refused:
        const millis retry_after =
            state_.start.hold().retry_after(request, state_.random.next(), state_.time.now());
        co_await send_error(503, errc::store_unavailable, execution::not_run, retry_after);
        break;
    }
    co_return false;
}

overload_inputs exchange::load_inputs() const
{
    return {state_.endpoints, state_.notices, state_.bounds.max_drain_delay, state_.routers.size()};
}

pending_request exchange::describe_pending(const time_estimate& estimate) const
{
    pending_request pending;
    pending.route = route_->name;
    pending.team = team_;
    pending.priority = priority_;
    pending.repeatable = route_->semantics != execution_semantics::at_most_once;
    pending.resumed = decoded_.last_event_id.has_value();
    pending.in_turn = decoded_.chat_hash && has_turn(*decoded_.chat_hash, state_.time.wall_now());
    pending.work = relative_work_;
    pending.received = request_.received;
    pending.objective = route_->latency_objective;
    pending.deadline = deadline_;
    pending.expected_response = estimate.first_event;
    pending.expected_completion = estimate.completion;
    return pending;
}

awaitable<bool> exchange::wait_for_room()
{
    if (!state_.overload.config().enabled)
    {
        co_return true;
    }
    service_overload& service = *state_.overload.service(service_);
    const time_point began = state_.time.now();
    service.refresh(service_, load_inputs(), began);
    time_estimate estimate;
    if (service.admission().is_busy())
    {
        estimate =
            overload_control::estimate(service, state_.endpoints, state_.times, work(), began);
        relative_work_ = service.admission().measure_work(estimate.completion);
    }
    if (!service.admission().observe(began))
    {
        co_return true;
    }
    pending_request pending = describe_pending(estimate);
    pending.number = state_.overload.next_number();
    admission_decision decision = service.admission().offer(pending, began);
    if (decision.step == admission_step::wait)
    {
        decision = co_await sleep_until_room(pending.number, decision.max_wait);
        const time_point now = state_.time.now();
        state_.metrics.record_room_wait(now - began);
        if (caller_left_)
        {
            state_.metrics.record_admission("caller_left");
            end_without_caller();
            co_return false;
        }
        if (stopping_)
        {
            state_.metrics.record_admission("stopping");
            co_await send_error(503, errc::shutting_down, execution::not_run,
                                std::min(retry_after_stop, time_left() / 3));
            co_return false;
        }
        log_event(log_level::info, "request_waited",
                  {{"request", decoded_.id},
                   {"service", service_},
                   {"step", to_string(decision.step)},
                   {"waited_ms", now - began},
                   {"open_work", service.admission().open_work()},
                   {"bound", service.admission().bound()}});
    }
    if (decision.step == admission_step::refuse)
    {
        state_.metrics.record_admission(decision.reason);
        log_event(log_level::info, "request_not_admitted",
                  {{"request", decoded_.id},
                   {"service", service_},
                   {"reason", decision.reason},
                   {"priority", priority_},
                   {"work", relative_work_},
                   {"open_work", service.admission().open_work()},
                   {"slots", service.admission().load().slots},
                   {"waiting", service.admission().waiting()},
                   {"retry_after_ms", decision.retry_after}});
        co_await send_error(503, errc::overloaded, execution::not_run, decision.retry_after);
        co_return false;
    }
    state_.metrics.record_admission("admitted");
    co_return true;
}

awaitable<admission_decision> exchange::sleep_until_room(std::uint64_t number, millis max_wait)
{
    service_overload& service = *state_.overload.service(service_);
    const time_point until = state_.time.now() + max_wait;
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(executor_);
    room_timer_ = timer;
    const waiting_place place(state_.overload.service(service_), number, *timer);
    for (;;)
    {
        const time_point now = state_.time.now();
        service.refresh(service_, load_inputs(), now);
        service.wake(now);
        if (!service.is_sleeping(number) || caller_left_ || stopping_ || now >= until)
        {
            break;
        }
        const millis pause = std::min(room_poll_interval, until - now);
        timer->expires_after(std::chrono::milliseconds(pause.count));
        boost::system::error_code ec;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    room_timer_.reset();
    if (!service.is_sleeping(number) || caller_left_ || stopping_)
    {
        co_return admission_decision{};
    }
    co_return service.admission().end_wait(number, state_.time.now());
}

void exchange::cancel_wait()
{
    if (room_timer_)
    {
        room_timer_->cancel();
    }
}

millis exchange::refusal_delay(millis fallback)
{
    const millis longest = std::max(millis{0}, time_left() / 3);
    const time_point now = state_.time.now();
    service_overload& service = *state_.overload.service(service_);
    service.refresh(service_, load_inputs(), now);
    const std::optional<millis> drained =
        service.admission().retry_after(hash64(decoded_.id.view()), longest * 3, now);
    return std::min(drained.value_or(fallback), longest);
}

} // namespace endivestage::serving
