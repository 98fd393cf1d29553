/// \file
/// \brief Server-sent events, received from engines and sent to callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::daemon
{

/// \brief Splits a byte stream into the data fields of server-sent events.
class event_stream_reader
{
public:
    /// An engine that sends a longer event is treated as broken.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// \brief Adds received bytes.
    /// \returns The data of each event completed by them, without the "data:" prefix.
    std::vector<std::string> add(std::string_view bytes);

    /// \returns Whether an event exceeded max_event_bytes; nothing is returned any more.
    bool overflowed() const { return overflowed_; }

private:
    std::string buf_;
    bool overflowed_ = false;
};

/// \returns An event with name, id (an offset in bytes) and data in one line.
std::string format_event_text(std::string_view name, std::uint64_t offset, std::string_view data);

} // namespace endivestage::daemon
