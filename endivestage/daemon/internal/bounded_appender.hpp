/// \file
/// \brief Appender that never waits for its reader.
#pragma once

#include <cstdint>
#include <deque>
#include <log4cplus/appender.h>
#include <string>

namespace endivestage::daemon
{

/// \brief Writes lines to a descriptor as far as it takes them at once and queues the rest.
///
/// A standard output that nobody reads must not stop a router: lines beyond the queue are dropped
/// and counted.
class bounded_appender final : public log4cplus::Appender
{
public:
    /// \param descriptor Stays open for the life of the appender.
    /// \param most_queued Lines kept while the reader is slow.
    bounded_appender(int descriptor, std::size_t most_queued);
    ~bounded_appender() override;

    void close() override;

    /// \brief Writes what the descriptor takes now.
    void flush();

    /// \returns Lines dropped so far.
    std::uint64_t dropped() const { return dropped_; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    bool write_front();

    int descriptor_;
    std::size_t most_queued_;
    std::deque<std::string> queue_;
    std::size_t written_ = 0; ///< Bytes of the first line that were written.
    std::uint64_t dropped_ = 0;
};

} // namespace endivestage::daemon
