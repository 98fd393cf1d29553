#include <endivestage/serving/quarantine_rows.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <charconv>

namespace endivestage::serving
{

namespace json = boost::json;

namespace
{

constexpr std::string_view key_prefix = "quarantine/";
/// A record holds the latest crashes only.
constexpr std::size_t max_crashes = 32;

} // namespace

std::string quarantine_row_key(std::uint64_t part)
{
    return std::string(key_prefix) + std::to_string(part);
}

std::optional<std::uint64_t> parse_quarantine_row_key(std::string_view key)
{
    if (!key.starts_with(key_prefix))
    {
        return std::nullopt;
    }
    key.remove_prefix(key_prefix.size());
    std::uint64_t part = 0;
    const std::from_chars_result parsed =
        std::from_chars(key.data(), key.data() + key.size(), part);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == key.data() + key.size();
    return whole ? std::optional<std::uint64_t>(part) : std::nullopt;
}

std::string encode_quarantine_row(const quarantine_record& record)
{
    json::array crashes;
    for (const part_report& crash : record.crashes)
    {
        crashes.emplace_back(json::object{{"crash", crash.event}, {"age_ms", crash.age.count}});
    }
    return json::serialize(json::object{{"crashes", std::move(crashes)}});
}

result<quarantine_record> decode_quarantine_row(std::uint64_t part, std::string_view data)
{
    const result<json::object> row = daemon::parse_json_object(data);
    if (!row)
    {
        return row.error();
    }
    quarantine_record record;
    record.part = part;
    for (const json::value& value : daemon::get_array(*row, "crashes"))
    {
        if (!value.is_object() || record.crashes.size() >= max_crashes)
        {
            return make_error_code(errc::invalid_request);
        }
        const json::object& crash = value.get_object();
        part_report report;
        report.kind = part_report::type::crashed;
        report.part = part;
        report.event = daemon::get_unsigned(crash, "crash");
        report.age = millis{daemon::get_number(crash, "age_ms", -1)};
        if (report.age < millis{0})
        {
            return make_error_code(errc::invalid_request);
        }
        record.crashes.push_back(report);
    }
    if (record.crashes.empty())
    {
        return make_error_code(errc::invalid_request);
    }
    return record;
}

} // namespace endivestage::serving
