#include <endivestage/daemon/internal/bounded_appender.hpp>

#include <algorithm>
#include <limits.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace endivestage::daemon
{

bounded_appender::bounded_appender(int descriptor, std::size_t most_queued)
    : descriptor_(descriptor),
      most_queued_(most_queued)
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::close()
{
    flush();
    closed = true;
}

bool bounded_appender::write_front()
{
    // A pipe that is ready takes PIPE_BUF bytes without waiting; the descriptor's own flags are
    // left alone, since other processes may share them.
    pollfd ready{descriptor_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
    {
        return false;
    }
    const std::string& line = queue_.front();
    const std::size_t size = std::min<std::size_t>(line.size() - written_, PIPE_BUF);
    const ssize_t n = ::write(descriptor_, line.data() + written_, size);
    if (n <= 0)
    {
        return false;
    }
    written_ += static_cast<std::size_t>(n);
    if (written_ == line.size())
    {
        queue_.pop_front();
        written_ = 0;
    }
    return true;
}

void bounded_appender::flush()
{
    while (!queue_.empty() && write_front())
    {
    }
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (queue_.size() >= most_queued_)
    {
        flush();
    }
    if (queue_.size() >= most_queued_)
    {
        ++dropped_;
        return;
    }
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    queue_.push_back(line.str());
    flush();
}

} // namespace endivestage::daemon
