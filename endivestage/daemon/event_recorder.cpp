#include <endivestage/daemon/event_recorder.hpp>

#include <endivestage/daemon/logging.hpp>

#include <span>

namespace endivestage::daemon
{

event_recorder::event_recorder(router_id self, zone_id zone, const clock& time,
                               std::size_t capacity)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      time_(time),
      buffer_(capacity)
{
}

void event_recorder::record(event_kind kind, event_fields fields, request_id request,
                            endpoint_id endpoint)
{
    std::vector<log_field> line;
    if (!request.empty())
    {
        line.emplace_back("request", request);
    }
    if (!endpoint.empty())
    {
        line.emplace_back("endpoint", endpoint);
    }
    for (const std::pair<std::string, std::string>& field : fields)
    {
        line.emplace_back(field.first == "error" ? std::string_view("reason") : field.first,
                          field.second);
    }
    log_event(log_level::info, to_string(kind), std::span<const log_field>(line));
    timeline_event event;
    event.router = self_;
    event.zone = zone_;
    event.kind = kind;
    event.request = std::move(request);
    event.endpoint = std::move(endpoint);
    event.fields = std::move(fields);
    const std::scoped_lock lock(mutex_);
    event.at = hybrid_.next(time_.wall_now());
    buffer_.add(std::move(event));
}

hybrid_time event_recorder::stamp()
{
    const std::scoped_lock lock(mutex_);
    return hybrid_.next(time_.wall_now());
}

void event_recorder::observe(hybrid_time remote)
{
    const std::scoped_lock lock(mutex_);
    hybrid_.observe(remote, time_.wall_now());
}

std::vector<timeline_event> event_recorder::select(const timeline_filter& filter,
                                                   std::size_t limit) const
{
    const std::scoped_lock lock(mutex_);
    return buffer_.select(filter, limit);
}

} // namespace endivestage::daemon
