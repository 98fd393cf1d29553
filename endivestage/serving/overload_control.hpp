/// \file
/// \brief Overload control of all services at one router: loads, estimates and sleeping requests.
#pragma once

#include <endivestage/overload.hpp>
#include <endivestage/routing.hpp>

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>

namespace endivestage::serving
{

/// \brief Inputs for the load of a service.
struct overload_inputs
{
    const endpoint_directory& endpoints;
    const endpoint_notices& notices;
    millis max_drain_delay{0};
    std::size_t routers = 1; ///< Routers that may be running, this one included.
};

/// \brief One service: its admission, and the timers of requests that wait for it.
class service_overload
{
public:
    service_overload(overload_config config, const waiting_order& order) : admission_(config, order)
    {
    }

    service_admission& admission() { return admission_; }
    const service_admission& admission() const { return admission_; }

    /// \brief Sums slots and loads of the usable endpoints, unless that was done just now.
    void refresh(const service_id& service, const overload_inputs& inputs, time_point now);

    /// \brief Releases waiting requests that have room, and cancels their timers.
    void wake(time_point now);

    /// \brief Registers the timer of a waiting request. A released request is not registered any
    /// more.
    void add_sleeper(std::uint64_t number, boost::asio::steady_timer& timer);
    bool is_sleeping(std::uint64_t number) const { return sleepers_.contains(number); }

    /// \brief Removes a request that waits no longer.
    void remove_sleeper(std::uint64_t number);

    /// \returns The endpoint with the most room at the last refresh; empty without one.
    const endpoint_id& roomiest_endpoint() const { return roomiest_; }

private:
    service_admission admission_;
    std::unordered_map<std::uint64_t, boost::asio::steady_timer*> sleepers_;
    endpoint_id roomiest_;
};

/// \brief Overload control of all services. Not thread-safe.
class overload_control
{
public:
    /// \returns The service, created at its first use.
    const std::shared_ptr<service_overload>& service(const service_id& name);

    /// \brief Applies settings to all services.
    void set_config(const overload_config& config);
    const overload_config& config() const { return config_; }

    /// \returns Estimated times of a request at a service's endpoint with the most room.
    static time_estimate estimate(const service_overload& of, const endpoint_directory& endpoints,
                                  const time_estimator& estimator, const request_work& work,
                                  time_point now);

    std::uint64_t next_number() { return ++last_number_; }
    std::size_t waiting() const;

private:
    overload_config config_;
    delay_cost_order order_;
    std::map<service_id, std::shared_ptr<service_overload>> services_;
    std::uint64_t last_number_ = 0;
};

/// \brief Counts a request as open work for as long as it exists, also when its handler throws.
///
/// Suspended coroutines may be destroyed after the router's state; nothing is counted then.
class open_work_count
{
public:
    /// \param time Must outlive \p of.
    open_work_count(const std::shared_ptr<service_overload>& of, double work, const clock& time)
        : service_(of),
          work_(work),
          time_(time)
    {
        of->admission().begin(work_);
    }
    ~open_work_count()
    {
        const std::shared_ptr<service_overload> service = service_.lock();
        if (service)
        {
            service->admission().end(work_, time_.now());
            service->wake(time_.now());
        }
    }
    open_work_count(const open_work_count&) = delete;
    open_work_count& operator=(const open_work_count&) = delete;

private:
    std::weak_ptr<service_overload> service_;
    double work_;
    const clock& time_;
};

} // namespace endivestage::serving
