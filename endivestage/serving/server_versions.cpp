#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/version_rows.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis refresh_interval{5000};
/// A stream and its take-ups are over within this time, or within twice the longest timeout of a
/// streaming route.
constexpr millis min_stream_lifetime{30000};

std::vector<service_id> find_streaming_services(const route_table& routes)
{
    std::set<service_id> found;
    for (const route& entry : routes.routes())
    {
        if (entry.streaming && entry.semantics == execution_semantics::resumable)
        {
            for (const route_target& target : entry.targets)
            {
                found.insert(target.service);
            }
        }
    }
    return {found.begin(), found.end()};
}

} // namespace

void server::configure_streams()
{
    millis longest{0};
    for (const route& entry : state_.routes->routes())
    {
        longest = entry.streaming ? std::max(longest, entry.timeout) : longest;
    }
    const millis lifetime = std::max(min_stream_lifetime, longest * 2);
    state_.origins.set_lifetime(lifetime);
    state_.versions.set_retention(lifetime);
    streaming_services_ = find_streaming_services(*state_.routes);
}

void server::apply_version_row(const service_id& service, const replicated_row& row)
{
    if (row.deleted)
    {
        state_.versions.record_erased(service);
        return;
    }
    const result<std::vector<std::string>> versions = decode_version_row(row.data);
    if (!versions)
    {
        log_event(log_level::warning, "row_unreadable", {{"table", "routers"}, {"key", row.key}});
        return;
    }
    state_.versions.restore(service, *versions, time_.now());
}

void server::record_version(const endpoint_record& endpoint)
{
    if (state_.versions.record_endpoint(endpoint, time_.now()) && origin_service_)
    {
        origin_service_->tell_all(hash64(endpoint.service.view()));
    }
}

void server::maintain_versions()
{
    const time_point now = time_.now();
    if (now - versions_refreshed_at_ >= refresh_interval)
    {
        versions_refreshed_at_ = now;
        for (const service_id& service : streaming_services_)
        {
            state_.versions.refresh(service, state_.endpoints, now);
        }
    }
    if (!replication_ || !replication_->is_primary() || stopping_)
    {
        return;
    }
    for (version_row& row : state_.versions.find_due(streaming_services_, now))
    {
        boost::asio::co_spawn(context_, store_versions(std::move(row)), boost::asio::detached);
    }
}

// A write that fails is tried again, by this router or by the next primary relay.
awaitable<void> server::store_versions(version_row row)
{
    std::string key = version_row_key(row.service);
    std::string data = encode_version_row(row.versions);
    const std::error_code ec =
        co_await platform_.tables->write(shared_table::routers, std::move(key), std::move(data));
    if (ec)
    {
        log_event(log_level::warning, "versions_write_failed", {{"service", row.service}, ec});
        co_return;
    }
    log_event(log_level::info, "versions_stored",
              {{"service", row.service}, {"versions", row.versions.size()}});
}

} // namespace endivestage::serving
