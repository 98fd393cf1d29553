#include <endivestage/configuration/merge.hpp>

#include <endivestage/configuration/internal/builder.hpp>
#include <endivestage/configuration/internal/document.hpp>

#include <algorithm>

namespace endivestage
{

std::string_view to_string(configuration_fault_kind kind)
{
    switch (kind)
    {
    case configuration_fault_kind::syntax:
        return "syntax";
    case configuration_fault_kind::duplicate_key:
        return "duplicate_key";
    case configuration_fault_kind::unknown_key:
        return "unknown_key";
    case configuration_fault_kind::wrong_type:
        return "wrong_type";
    case configuration_fault_kind::out_of_range:
        return "out_of_range";
    case configuration_fault_kind::missing_key:
        return "missing_key";
    case configuration_fault_kind::dangling_reference:
        return "dangling_reference";
    case configuration_fault_kind::duplicate_address:
        return "duplicate_address";
    case configuration_fault_kind::duplicate_id:
        return "duplicate_id";
    case configuration_fault_kind::duplicate_route:
        break;
    }
    return "duplicate_route";
}

configuration_merge_result merge_configuration(std::span<const configuration_file> files)
{
    std::vector<const configuration_file*> ordered;
    for (const configuration_file& file : files)
    {
        ordered.push_back(&file);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const configuration_file* a, const configuration_file* b)
                     { return a->name < b->name; });
    internal::fault_list faults;
    internal::merged_document document;
    for (std::size_t n = 0; n < ordered.size(); ++n)
    {
        const configuration_file& file = *ordered[n];
        if (n > 0 && ordered[n - 1]->name == file.name)
        {
            faults.add(configuration_fault_kind::duplicate_key, file.name, "",
                       "two files have this name, so their order is undefined");
        }
        boost::json::object parsed = internal::parse_document(file.content, file.name, faults);
        internal::check_schema(parsed, file.name, faults);
        document.merge(parsed, file.name, faults);
    }
    configuration_merge_result merged;
    merged.configuration = internal::build_configuration(document, faults);
    merged.faults = faults.extract_sorted();
    return merged;
}

} // namespace endivestage
