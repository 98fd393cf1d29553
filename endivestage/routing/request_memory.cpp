#include <endivestage/routing/request_memory.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace endivestage
{

namespace
{

constexpr std::size_t small_reserve_divisor = 4;

} // namespace

request_memory_config request_memory_config::for_capacity(std::size_t capacity)
{
    request_memory_config config;
    config.capacity = capacity;
    config.small_reserve = capacity / small_reserve_divisor;
    return config;
}

std::shared_ptr<request_reservation> request_memory::open(std::string address, time_point now)
{
    return std::make_shared<request_reservation>(*this, std::move(address), now);
}

std::size_t request_memory::unfinished_bytes() const
{
    std::size_t total = 0;
    for (const request_reservation* reservation : unfinished_)
    {
        total += reservation->held_;
    }
    return total;
}

bool request_memory::may_hold(const request_reservation& asking, std::size_t bytes) const
{
    if (in_use_ - asking.held_ + bytes > config_.capacity)
    {
        return false;
    }
    if (bytes <= config_.small_request)
    {
        return true;
    }
    const std::size_t large_capacity = config_.capacity - config_.small_reserve;
    const std::size_t own = asking.held_ > config_.small_request ? asking.held_ : 0;
    const std::size_t others = large_in_use_ - own;
    if (others + bytes > large_capacity)
    {
        return false;
    }
    const auto it = large_by_address_.find(asking.address_);
    const std::size_t same_address = it != large_by_address_.end() ? it->second - own : 0;
    return same_address == 0 || static_cast<double>(same_address + bytes) <=
                                    config_.address_share * static_cast<double>(large_capacity);
}

std::size_t request_memory::evict(std::size_t bytes, time_point now)
{
    std::vector<std::pair<double, request_reservation*>> slow;
    std::size_t expected = 0;
    for (request_reservation* reservation : unfinished_)
    {
        if (reservation->evicted_)
        {
            expected += reservation->held_;
            continue;
        }
        const double rate = reservation->rate(now);
        if (!reservation->waiting_ && now - reservation->opened_ >= config_.grace &&
            rate < config_.min_rate)
        {
            slow.emplace_back(rate, reservation);
        }
    }
    std::sort(slow.begin(), slow.end(),
              [](const std::pair<double, request_reservation*>& a,
                 const std::pair<double, request_reservation*>& b) { return a.first < b.first; });
    std::size_t asked = 0;
    for (const std::pair<double, request_reservation*>& entry : slow)
    {
        if (expected >= bytes)
        {
            break;
        }
        request_reservation& victim = *entry.second;
        expected += victim.held_;
        victim.evicted_ = true;
        ++evictions_;
        ++asked;
        if (victim.evict_)
        {
            std::exchange(victim.evict_, nullptr)();
        }
    }
    return asked;
}

request_reservation::request_reservation(request_memory& memory, std::string address,
                                         time_point now)
    : memory_(memory),
      address_(std::move(address)),
      opened_(now),
      last_arrival_(now)
{
    memory_.unfinished_.insert(this);
}

request_reservation::~request_reservation()
{
    account(0);
    memory_.unfinished_.erase(this);
}

bool request_reservation::resize(std::size_t bytes)
{
    if (bytes > held_ && !memory_.may_hold(*this, bytes))
    {
        return false;
    }
    account(bytes);
    return true;
}

void request_reservation::account(std::size_t bytes)
{
    const std::size_t limit = memory_.config_.small_request;
    const std::size_t large_before = held_ > limit ? held_ : 0;
    const std::size_t large_after = bytes > limit ? bytes : 0;
    memory_.in_use_ = memory_.in_use_ - held_ + bytes;
    memory_.large_in_use_ = memory_.large_in_use_ - large_before + large_after;
    held_ = bytes;
    if (large_before == large_after)
    {
        return;
    }
    std::size_t& same_address = memory_.large_by_address_[address_];
    same_address = same_address - large_before + large_after;
    if (same_address == 0)
    {
        memory_.large_by_address_.erase(address_);
    }
}

void request_reservation::begin_wait(time_point now)
{
    waiting_ = true;
    wait_began_ = now;
}

void request_reservation::end_wait(time_point now)
{
    waiting_ = false;
    last_arrival_ = last_arrival_ + (now - wait_began_);
}

void request_reservation::finish()
{
    memory_.unfinished_.erase(this);
    evict_ = nullptr;
}

void request_reservation::record_arrival(std::size_t bytes, time_point now)
{
    recent_bytes_ = recent_bytes(now) + static_cast<double>(bytes);
    last_arrival_ = now;
}

double request_reservation::recent_bytes(time_point now) const
{
    const double windows = static_cast<double>((now - last_arrival_).count) /
                           static_cast<double>(memory_.config_.rate_window.count);
    return recent_bytes_ * std::exp(-windows);
}

double request_reservation::rate(time_point now) const
{
    return recent_bytes(now) * 1000.0 / static_cast<double>(memory_.config_.rate_window.count);
}

} // namespace endivestage
