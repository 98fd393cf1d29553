#include <endivestage/configuration/internal/document.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace endivestage::internal
{

namespace json = boost::json;

void fault_list::add(configuration_fault_kind kind, std::string_view file, std::string_view path,
                     std::string reason)
{
    faults_.push_back({kind, std::string(file), std::string(path), std::move(reason)});
    paths_.emplace(path);
}

bool fault_list::has_fault_at(std::string_view path) const
{
    const auto exact = paths_.lower_bound(path);
    if (exact != paths_.end() && *exact == path)
    {
        return true;
    }
    const auto descendant = paths_.lower_bound(std::string(path) + '.');
    return descendant != paths_.end() && descendant->starts_with(std::string(path) + '.');
}

std::vector<configuration_fault> fault_list::extract_sorted()
{
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const configuration_fault& a, const configuration_fault& b)
                     { return std::tie(a.file, a.path) < std::tie(b.file, b.path); });
    return std::move(faults_);
}

std::string join_path(std::string_view path, std::string_view key)
{
    std::string joined(path);
    if (!joined.empty())
    {
        joined += '.';
    }
    joined += key;
    return joined;
}

void merged_document::merge(const json::object& patch, std::string_view file, fault_list& faults)
{
    merge_object(root_, patch, "", file, faults);
}

std::string_view merged_document::origin(std::string_view path) const
{
    while (true)
    {
        const auto it = origins_.find(path);
        if (it != origins_.end())
        {
            return it->second;
        }
        const std::size_t dot = path.rfind('.');
        if (dot == std::string_view::npos)
        {
            return {};
        }
        path = path.substr(0, dot);
    }
}

void merged_document::merge_object(json::object& target, const json::object& patch,
                                   const std::string& path, std::string_view file,
                                   fault_list& faults)
{
    for (const json::key_value_pair& member : patch)
    {
        const std::string_view key(member.key().data(), member.key().size());
        merge_member(target, key, member.value(), join_path(path, key), file, faults);
    }
}

void merged_document::merge_member(json::object& target, std::string_view key,
                                   const json::value& value, const std::string& path,
                                   std::string_view file, fault_list& faults)
{
    const json::string_view name(key.data(), key.size());
    if (value.is_null())
    {
        if (target.erase(name) == 0)
        {
            faults.add(configuration_fault_kind::dangling_reference, file, path,
                       "null has nothing to remove: no earlier file sets this key");
        }
        remove_origin(path);
        return;
    }
    origins_[path] = file;
    if (!value.is_object())
    {
        target[name] = value;
        return;
    }
    json::value& nested = target[name];
    if (!nested.is_object())
    {
        nested = json::object();
    }
    merge_object(nested.get_object(), value.get_object(), path, file, faults);
}

void merged_document::remove_origin(const std::string& path)
{
    std::erase_if(origins_, [&path](const std::pair<const std::string, std::string>& entry)
                  { return entry.first == path || entry.first.starts_with(path + '.'); });
}

json::object parse_document(std::string_view content, std::string_view file, fault_list& faults)
{
    boost::system::error_code ec;
    json::value document = json::parse(json::string_view(content.data(), content.size()), ec);
    if (ec)
    {
        faults.add(configuration_fault_kind::syntax, file, "", "invalid JSON: " + ec.message());
        return {};
    }
    if (!document.is_object())
    {
        faults.add(configuration_fault_kind::wrong_type, file, "",
                   "the document must be an object");
        return {};
    }
    report_duplicate_keys(content, file, faults);
    return std::move(document.get_object());
}

} // namespace endivestage::internal
