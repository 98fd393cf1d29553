#include <endivestage/daemon/socket_deadline.hpp>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <poll.h>

namespace endivestage::daemon
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady_clock = std::chrono::steady_clock;

namespace
{

/// Passes of the event loop after the deadline in which a socket may still be ready. More would let
/// a peer prolong an operation by single bytes.
constexpr int max_late_passes = 64;
/// A composed operation may be between two operations on the socket when it is cancelled.
constexpr std::chrono::milliseconds cancel_interval{1};

} // namespace

struct socket_deadline::state : std::enable_shared_from_this<state>
{
    explicit state(tcp::socket& s) : socket(s), timer(s.get_executor()) {}

    void wait_until(steady_clock::time_point instant)
    {
        timer.expires_at(instant);
        waiting = true;
        timer.async_wait(
            [weak_self = weak_from_this()](const boost::system::error_code& ec)
            {
                const std::shared_ptr<state> self = weak_self.lock();
                if (self && !ec)
                {
                    self->check();
                }
            });
    }

    void check()
    {
        waiting = false;
        if (!active)
        {
            return;
        }
        const steady_clock::time_point now = steady_clock::now();
        if (now < deadline)
        {
            wait_until(deadline);
            return;
        }
        if (is_ready() && ++late_passes <= max_late_passes)
        {
            // The operation completes in the next pass of the event loop.
            wait_until(now);
            return;
        }
        boost::system::error_code ignored;
        socket.cancel(ignored);
        wait_until(now + cancel_interval);
    }

    bool is_ready()
    {
        pollfd polled{};
        polled.fd = socket.native_handle();
        polled.events = awaited == direction::read ? POLLIN : POLLOUT;
        return poll(&polled, 1, 0) > 0;
    }

    tcp::socket& socket;
    /// Left running by stop, since most reads of a stream share a deadline: starting it again for
    /// each would cost more than the few expiries without an operation.
    asio::steady_timer timer;
    steady_clock::time_point deadline;
    direction awaited = direction::read;
    bool waiting = false; ///< The timer runs.
    bool active = false;  ///< Between start and stop.
    int late_passes = 0;
};

socket_deadline::socket_deadline(tcp::socket& socket) : state_(std::make_shared<state>(socket)) {}

socket_deadline::~socket_deadline()
{
    state_->active = false;
    state_->timer.cancel();
}

void socket_deadline::start(millis timeout, direction awaited)
{
    state& s = *state_;
    s.deadline =
        steady_clock::now() + std::chrono::milliseconds(std::max<std::int64_t>(1, timeout.count));
    s.awaited = awaited;
    s.active = true;
    s.late_passes = 0;
    if (!s.waiting || s.deadline < s.timer.expiry())
    {
        s.wait_until(s.deadline);
    }
}

void socket_deadline::stop()
{
    state_->active = false;
}

} // namespace endivestage::daemon
