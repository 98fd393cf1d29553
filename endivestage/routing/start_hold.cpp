#include <endivestage/routing/start_hold.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace endivestage
{

namespace
{

/// Returns of refused callers are spread over this range. A start takes some hundred milliseconds;
/// when all routers start at the same time, no other one is ready earlier.
constexpr millis shortest_return{150};
constexpr millis longest_return{450};
/// A caller is asked to return after at most this part of its time left.
constexpr std::int64_t return_divisor = 3;
/// A request waits for at most this part of its caller's time.
constexpr std::int64_t wait_divisor = 2;

} // namespace

time_point start_hold::give_up_time(const unrouted_request& request) const
{
    return request.timeout
               ? std::min(tables_due_, request.received + *request.timeout / wait_divisor)
               : tables_due_;
}

std::optional<start_hold::request_number> start_hold::add(const unrouted_request& request,
                                                          time_point now)
{
    const time_point until = give_up_time(request);
    if (now >= until || tables_at_earliest_ >= until || held_.size() >= limits_.requests ||
        request.bytes > limits_.bytes - bytes_)
    {
        return std::nullopt;
    }
    held_request held;
    held.bytes = request.bytes;
    held.until = until;
    if (request.timeout)
    {
        held.deadline = request.received + *request.timeout;
    }
    held_.emplace(++last_number_, held);
    bytes_ += request.bytes;
    return last_number_;
}

void start_hold::remove(request_number number)
{
    const auto it = held_.find(number);
    if (it != held_.end())
    {
        bytes_ -= it->second.bytes;
        held_.erase(it);
    }
}

std::vector<start_hold::request_number> start_hold::postpone(time_point at_earliest)
{
    tables_at_earliest_ = std::max(tables_at_earliest_, at_earliest);
    std::vector<request_number> refused;
    for (const std::pair<const request_number, held_request>& entry : held_)
    {
        if (tables_at_earliest_ >= entry.second.until)
        {
            refused.push_back(entry.first);
        }
    }
    for (const request_number number : refused)
    {
        remove(number);
    }
    return refused;
}

std::vector<start_hold::request_number>
start_hold::release(const std::function<std::uint32_t(request_number)>& priority)
{
    constexpr time_point never{std::numeric_limits<std::int64_t>::max()};
    std::vector<std::tuple<std::uint32_t, time_point, request_number>> order;
    order.reserve(held_.size());
    for (const std::pair<const request_number, held_request>& entry : held_)
    {
        order.emplace_back(priority(entry.first), entry.second.deadline.value_or(never),
                           entry.first);
    }
    std::sort(order.begin(), order.end());
    std::vector<request_number> released;
    released.reserve(order.size());
    for (const std::tuple<std::uint32_t, time_point, request_number>& next : order)
    {
        released.push_back(std::get<request_number>(next));
    }
    held_.clear();
    bytes_ = 0;
    return released;
}

millis start_hold::retry_after(const unrouted_request& request, std::uint64_t spread,
                               time_point now) const
{
    const std::uint64_t range =
        static_cast<std::uint64_t>((longest_return - shortest_return).count) + 1;
    const millis chosen = shortest_return + millis{static_cast<std::int64_t>(spread % range)};
    if (!request.timeout)
    {
        return chosen;
    }
    const millis left = request.received + *request.timeout - now;
    return std::min(chosen, std::max(millis{0}, left / return_divisor));
}

} // namespace endivestage
