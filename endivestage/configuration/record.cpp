#include <endivestage/configuration/record.hpp>

#include <boost/json.hpp>

namespace endivestage
{

namespace
{

namespace json = boost::json;

std::string string_member(const json::value& entry, json::string_view key)
{
    return json::value_to<std::string>(entry.at(key));
}

configuration_record parse_record(const json::value& document)
{
    configuration_record record;
    for (const json::value& entry : document.at("commits").as_array())
    {
        record.entries.push_back(
            {{entry.at("version").to_number<std::uint64_t>(), string_member(entry, "digest")},
             string_member(entry, "author"),
             string_member(entry, "apply")});
    }
    return record;
}

} // namespace

configuration_stamp configuration_record::current() const
{
    return entries.empty() ? configuration_stamp() : entries.front().stamp;
}

std::string to_json(const configuration_record& record)
{
    json::array commits;
    for (const configuration_commit_entry& entry : record.entries)
    {
        commits.push_back(json::object{{"version", entry.stamp.version},
                                       {"digest", entry.stamp.digest},
                                       {"author", entry.author},
                                       {"apply", entry.apply_id}});
    }
    return json::serialize(json::object{{"commits", std::move(commits)}});
}

result<configuration_record> configuration_record_from_json(std::string_view text)
{
    try
    {
        return parse_record(json::parse(json::string_view(text.data(), text.size())));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::invalid_configuration);
    }
}

} // namespace endivestage
