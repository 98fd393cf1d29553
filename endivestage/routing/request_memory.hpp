/// \file
/// \brief Limit on the memory that requests of callers take, from their first byte to their end.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace endivestage
{

/// \brief Sizes of a \ref request_memory, in bytes.
struct request_memory_config
{
    std::size_t capacity = 0; ///< For all requests.
    /// Part that only requests up to small_request may use, so that ordinary ones find memory
    /// beside large bodies.
    std::size_t small_reserve = 0;
    std::size_t small_request = 65536;
    /// Requests above small_request of one caller address may take this part of what large
    /// requests may use, unless only one of them is open.
    double address_share = 0.75;
    /// A body that arrives at this rate or faster is not evicted for others, in bytes a second.
    double min_rate = 65536.0;
    /// Time over which the rate is averaged. A body of 4 MB that stops falls below the minimum rate
    /// within seven times this, whatever arrived before.
    millis rate_window{100};
    /// A younger request is not evicted: its rate is not known.
    millis grace{100};

    /// \returns Sizes for a part of the process's memory.
    static request_memory_config for_capacity(std::size_t capacity);
};

class request_reservation;

/// \brief Memory of all requests of callers. Must outlive its reservations. Not thread-safe.
class request_memory
{
public:
    explicit request_memory(request_memory_config config) : config_(config) {}
    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;

    /// \brief Opens the reservation of a request whose first byte has arrived; it holds nothing.
    /// \param address Address of the caller, without its port.
    std::shared_ptr<request_reservation> open(std::string address, time_point now);

    /// \brief Asks unfinished requests below the minimum rate to release their memory, the slowest
    /// first, until \p bytes are on their way.
    /// \returns The number of requests that were asked.
    std::size_t evict(std::size_t bytes, time_point now);

    std::size_t capacity() const { return config_.capacity; }
    std::size_t in_use() const { return in_use_; }
    std::size_t unfinished() const { return unfinished_.size(); }
    /// \returns Bytes of requests that have not arrived whole.
    std::size_t unfinished_bytes() const;
    /// \returns Requests evicted since the start.
    std::uint64_t evictions() const { return evictions_; }

private:
    friend class request_reservation;

    bool may_hold(const request_reservation& asking, std::size_t bytes) const;

    request_memory_config config_;
    std::size_t in_use_ = 0;
    std::size_t large_in_use_ = 0;
    std::uint64_t evictions_ = 0;
    std::map<std::string, std::size_t> large_by_address_;
    std::set<request_reservation*> unfinished_;
};

/// \brief Memory of one request; returned by the destructor.
class request_reservation
{
public:
    request_reservation(request_memory& memory, std::string address, time_point now);
    ~request_reservation();
    request_reservation(const request_reservation&) = delete;
    request_reservation& operator=(const request_reservation&) = delete;

    /// \brief Changes the size.
    /// \returns Whether the budget allows it; if not, the size is unchanged. It may always shrink.
    bool resize(std::size_t bytes);

    /// \brief Records what has arrived of the request.
    /// \param bytes Received since the last call.
    void record_arrival(std::size_t bytes, time_point now);

    /// \brief The router stops reading until memory is free; the time does not count for the rate.
    void begin_wait(time_point now);
    void end_wait(time_point now);

    /// \brief The request has arrived whole; it is no longer evicted.
    void finish();

    /// \param callback Called at most once, when the memory is wanted back. It must not destroy
    /// the reservation.
    void on_evict(std::function<void()> callback) { evict_ = std::move(callback); }

    bool evicted() const { return evicted_; }
    std::size_t held() const { return held_; }

private:
    friend class request_memory;

    void account(std::size_t bytes);
    /// \returns Recent bytes a second; time of waits does not count.
    double rate(time_point now) const;
    double recent_bytes(time_point now) const;

    request_memory& memory_;
    std::string address_;
    time_point opened_;
    time_point last_arrival_;   ///< Moved on by the time of waits.
    double recent_bytes_ = 0.0; ///< As of the last arrival; decays over rate_window.
    time_point wait_began_;
    bool waiting_ = false;
    bool evicted_ = false;
    std::size_t held_ = 0;
    std::function<void()> evict_;
};

} // namespace endivestage
