#include <endivestage/serving/overload_control.hpp>

#include <algorithm>

namespace endivestage::serving
{

namespace
{

/// Loads change little within this time, whereas summing them for each request would cost a pass
/// over all endpoints. The router's own requests are counted without delay.
constexpr millis refresh_interval{20};
/// An endpoint counts with at most this multiple of its slots. Requests that pile up at one
/// endpoint that hangs must not make the others seem full.
constexpr double max_fill = 2.0;

} // namespace

void service_overload::refresh(const service_id& service, const overload_inputs& inputs,
                               time_point now)
{
    if (now - admission_.load_updated_at() < refresh_interval)
    {
        return;
    }
    const std::vector<const endpoint_state*> available = inputs.endpoints.available(service, now);
    const usable_endpoints usable = inputs.notices.select(available, inputs.max_drain_delay, now);
    service_load load;
    load.routers = std::max<std::size_t>(1, inputs.routers);
    load.current = load.routers == 1 || inputs.endpoints.has_current_loads(now);
    double most_room = 0.0;
    roomiest_ = endpoint_id();
    // Avoided endpoints get no new requests, so neither their slots nor their open requests count.
    // If all are avoided, they still get them, and without any slots nothing would be bounded.
    const bool all_avoided =
        std::all_of(usable.endpoints.begin(), usable.endpoints.end(),
                    [now](const endpoint_state* endpoint) { return now < endpoint->avoid_until; });
    for (const endpoint_state* endpoint : usable.endpoints)
    {
        if (now < endpoint->avoid_until && !all_avoided)
        {
            continue;
        }
        const double slots = endpoint->record.slots;
        const double open =
            std::min(inputs.endpoints.estimated_load(*endpoint, now), slots * max_fill);
        load.slots += slots;
        load.open_requests += open;
        if (roomiest_.empty() || (slots - open) / slots > most_room)
        {
            roomiest_ = endpoint->record.id;
            most_room = (slots - open) / slots;
        }
    }
    admission_.update_load(load, now);
}

void service_overload::wake(time_point now)
{
    for (const std::uint64_t number : admission_.release(now))
    {
        const auto it = sleepers_.find(number);
        if (it != sleepers_.end())
        {
            it->second->cancel();
            sleepers_.erase(it);
        }
    }
}

void service_overload::add_sleeper(std::uint64_t number, boost::asio::steady_timer& timer)
{
    sleepers_[number] = &timer;
}

void service_overload::remove_sleeper(std::uint64_t number)
{
    sleepers_.erase(number);
    admission_.withdraw(number);
}

const std::shared_ptr<service_overload>& overload_control::service(const service_id& name)
{
    std::shared_ptr<service_overload>& found = services_[name];
    if (!found)
    {
        found = std::make_shared<service_overload>(config_, order_);
    }
    return found;
}

void overload_control::set_config(const overload_config& config)
{
    config_ = config;
    for (std::pair<const service_id, std::shared_ptr<service_overload>>& service : services_)
    {
        service.second->admission().set_config(config);
    }
}

time_estimate overload_control::estimate(const service_overload& of,
                                         const endpoint_directory& endpoints,
                                         const time_estimator& estimator, const request_work& work,
                                         time_point now)
{
    const endpoint_state* endpoint = endpoints.find(of.roomiest_endpoint());
    return endpoint != nullptr ? estimator.estimate(*endpoint, work, now) : time_estimate{};
}

std::size_t overload_control::waiting() const
{
    std::size_t n = 0;
    for (const std::pair<const service_id, std::shared_ptr<service_overload>>& service : services_)
    {
        n += service.second->admission().waiting();
    }
    return n;
}

} // namespace endivestage::serving
