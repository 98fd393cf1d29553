// Pool loads in admission_service: digests to the aggregator and its sums.
#include <endivestage/daemon/admission_service.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr millis aggregate_retention{2000};

json::object encode_mean(const std::optional<pool_mean>& mean)
{
    json::object object;
    if (mean)
    {
        object["load"] = mean->load;
        object["capacity"] = mean->capacity;
        object["oldest_ms"] = mean->oldest_age.count;
    }
    return object;
}

std::optional<pool_mean> decode_mean(const json::object& object)
{
    if (!object.contains("capacity"))
    {
        return std::nullopt;
    }
    return pool_mean{get_real(object, "load"), get_real(object, "capacity"),
                     millis{get_number(object, "oldest_ms")}};
}

} // namespace

void admission_service::send_digests()
{
    std::map<pool_id, std::vector<engine_load>> loads;
    {
        const std::scoped_lock lock(mutex_);
        for (const std::pair<const endpoint_id, owned_engine>& entry : owned_)
        {
            const std::optional<engine_load> load = entry.second.gate.digest_entry();
            std::vector<engine_load>& list = loads[entry.second.pool];
            if (load)
            {
                list.push_back(*load);
            }
        }
    }
    const view_pointer present = cluster_.view_now();
    if (!present)
    {
        return;
    }
    for (std::pair<const pool_id, std::vector<engine_load>>& entry : loads)
    {
        spawn(node_.io,
              [this, pool = entry.first, number = present->number, list = std::move(entry.second)]
              { return send_digest(pool, number, list); });
    }
}

awaitable<void> admission_service::send_digest(pool_id pool, std::uint64_t view_number,
                                               std::vector<engine_load> loads)
{
    const view_pointer present = cluster_.view_now();
    const time_point taken = node_.time.now();
    std::optional<pool_mean> mean;
    for (const member& candidate : aggregators_of(*present, pool, 3))
    {
        if (cluster_.is_serving(candidate.id))
        {
            mean = co_await exchange_digest(candidate, pool, view_number, loads);
            break;
        }
    }
    if (!mean)
    {
        co_return;
    }
    for (const endpoint_id& engine : owned_engines())
    {
        with_gate(engine,
                  [&](owned_engine& owned, time_point now)
                  {
                      return owned.pool == pool ? owned.gate.update_mean(*mean, taken, now)
                                                : std::vector<queue_decision>{};
                  });
    }
}

awaitable<std::optional<pool_mean>>
admission_service::exchange_digest(const member& aggregator, const pool_id& pool,
                                   std::uint64_t view_number, const std::vector<engine_load>& loads)
{
    if (aggregator.id == node_.settings.id)
    {
        co_return aggregate(node_.settings.id, pool, view_number, loads);
    }
    json::object body{{"pool", pool.str()}, {"view", view_number}, {"loads", encode(loads)}};
    const rpc_answer answer =
        co_await node_.rpc.call(peer_address_of(aggregator), "/load/digest", std::move(body),
                                node_.settings.timing.digest_period * 2);
    co_return answer ? decode_mean(*answer) : std::nullopt;
}

std::optional<pool_mean> admission_service::aggregate(const router_id& owner, const pool_id& pool,
                                                      std::uint64_t view_number,
                                                      const std::vector<engine_load>& loads)
{
    const time_point now = node_.time.now();
    const std::scoped_lock lock(mutex_);
    std::erase_if(aggregates_, [now](const auto& entry)
                  { return now - entry.second.used > aggregate_retention; });
    const auto it =
        aggregates_.try_emplace(pool, owned_aggregate{pool_aggregate({}, now), now}).first;
    it->second.used = now;
    it->second.sums.update(owner, view_number, loads, millis{0}, now);
    return it->second.sums.mean(now);
}

awaitable<rpc_answer> admission_service::on_digest(router_id from, const json::object& body)
{
    co_return encode_mean(aggregate(from, pool_id(get_text(body, "pool")),
                                    get_unsigned(body, "view"),
                                    decode_loads(get_array(body, "loads"))));
}

} // namespace endivestage::daemon
