#include <endivestage/serving/rollout_rows.hpp>

#include <endivestage/daemon/json_access.hpp>

namespace endivestage::serving
{

namespace json = boost::json;

namespace
{

constexpr std::string_view key_prefix = "rollout/";
/// Members of an encoded entry of evidence.
constexpr std::size_t entry_size = 6;

json::array encode_times(const response_counts& counts)
{
    json::array encoded;
    for (std::size_t n = 0; n < latency_buckets; ++n)
    {
        if (counts.first_event.at(n) > 0)
        {
            encoded.emplace_back(n);
            encoded.emplace_back(counts.first_event.at(n));
        }
    }
    return encoded;
}

std::uint64_t to_number(const json::value& value)
{
    boost::system::error_code ec;
    const std::uint64_t number = value.to_number<std::uint64_t>(ec);
    return ec ? 0 : number;
}

} // namespace

std::string rollout_row_key(const service_id& service)
{
    return std::string(key_prefix) + service.str();
}

std::optional<service_id> parse_rollout_row_key(std::string_view key)
{
    if (!key.starts_with(key_prefix))
    {
        return std::nullopt;
    }
    return service_id(std::string(key.substr(key_prefix.size())));
}

std::string encode_rollout_row(const rollout_record& record)
{
    json::array excluded;
    for (const std::string& version : record.excluded)
    {
        excluded.emplace_back(version);
    }
    return json::serialize(json::object{{"order", record.order_revision},
                                        {"era", record.order_era},
                                        {"to", record.to},
                                        {"phase", to_string(record.phase)},
                                        {"announced", record.announced},
                                        {"share", record.share},
                                        {"reason", record.reason},
                                        {"ordered_at", record.ordered_at.since_epoch},
                                        {"base", record.base},
                                        {"excluded", std::move(excluded)}});
}

result<rollout_record> decode_rollout_row(const service_id& service, std::string_view data)
{
    const result<json::object> row = daemon::parse_json_object(data);
    if (!row)
    {
        return row.error();
    }
    const std::optional<rollout_phase> phase = parse_rollout_phase(daemon::get_text(*row, "phase"));
    rollout_record record;
    record.service = service;
    record.order_revision = daemon::get_unsigned(*row, "order");
    record.order_era = daemon::get_unsigned(*row, "era");
    record.to = daemon::get_text(*row, "to");
    record.announced = daemon::get_flag(*row, "announced");
    record.share = daemon::get_real(*row, "share", -1.0);
    record.reason = daemon::get_text(*row, "reason");
    record.ordered_at = {daemon::get_number(*row, "ordered_at")};
    record.base = daemon::get_text(*row, "base");
    for (const json::value& version : daemon::get_array(*row, "excluded"))
    {
        if (version.is_string())
        {
            record.excluded.emplace(version.get_string());
        }
    }
    if (!phase || record.to.empty() || record.share < 0.0 || record.share > 1.0)
    {
        return make_error_code(errc::invalid_request);
    }
    record.phase = *phase;
    return record;
}

json::object encode_rollout_counts(const rollout_counts& counts)
{
    json::array encoded;
    for (const auto& [key, responses] : counts.counts)
    {
        encoded.emplace_back(json::array{key.is_new ? 1 : 0, key.route, key.reads_prompt ? 1 : 0,
                                         responses.requests, responses.failures,
                                         encode_times(responses)});
    }
    return {{"service", counts.service.view()},
            {"order", counts.order.revision},
            {"era", counts.order.era},
            {"counts", std::move(encoded)}};
}

rollout_counts decode_rollout_counts(const json::object& encoded)
{
    rollout_counts decoded;
    decoded.service = service_id(daemon::get_text(encoded, "service"));
    decoded.order = {daemon::get_unsigned(encoded, "order"), daemon::get_unsigned(encoded, "era")};
    for (const json::value& value : daemon::get_array(encoded, "counts"))
    {
        const json::array* entry = value.if_array();
        if (entry == nullptr || entry->size() != entry_size || !entry->at(5).is_array())
        {
            continue;
        }
        evidence_key key;
        key.is_new = to_number(entry->at(0)) != 0;
        key.route = to_number(entry->at(1));
        key.reads_prompt = to_number(entry->at(2)) != 0;
        response_counts& counts = decoded.counts[key];
        counts.requests = static_cast<std::uint32_t>(to_number(entry->at(3)));
        counts.failures = static_cast<std::uint32_t>(to_number(entry->at(4)));
        const json::array& times = entry->at(5).get_array();
        for (std::size_t n = 0; n + 1 < times.size(); n += 2)
        {
            const std::uint64_t bucket = to_number(times[n]);
            if (bucket < latency_buckets)
            {
                counts.first_event.at(bucket) = static_cast<std::uint32_t>(to_number(times[n + 1]));
            }
        }
    }
    return decoded;
}

} // namespace endivestage::serving
