/// \file
/// \brief Parsed configuration files, checked against the schema and merged.
#pragma once

#include <endivestage/configuration/fault.hpp>

#include <boost/json.hpp>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::internal
{

/// \brief Collects faults and knows which paths already have one.
class fault_list
{
public:
    /// \brief Adds a fault.
    void add(configuration_fault_kind kind, std::string_view file, std::string_view path,
             std::string reason);

    /// \returns Whether a fault was reported at \p path or below it. A check that depends on this
    ///     value is then skipped, because it would only repeat that fault.
    bool has_fault_at(std::string_view path) const;

    /// \returns All faults in order of file and path.
    std::vector<configuration_fault> extract_sorted();

private:
    std::vector<configuration_fault> faults_;
    std::set<std::string, std::less<>> paths_;
};

/// \returns \p path with one more key.
std::string join_path(std::string_view path, std::string_view key);

/// \brief The merged document and the file that set each value.
class merged_document
{
public:
    /// \brief Applies a later document as a JSON merge patch. Faulty values must be gone.
    void merge(const boost::json::object& patch, std::string_view file, fault_list& faults);

    /// \returns The merged values.
    const boost::json::object& root() const { return root_; }

    /// \returns The file that last set the value at \p path or, when it is absent, the nearest
    ///     value that encloses it.
    std::string_view origin(std::string_view path) const;

private:
    void merge_object(boost::json::object& into, const boost::json::object& patch,
                      const std::string& path, std::string_view file, fault_list& faults);
    void merge_member(boost::json::object& into, std::string_view key,
                      const boost::json::value& value, const std::string& path,
                      std::string_view file, fault_list& faults);
    void remove_origin(const std::string& path);

    boost::json::object root_;
    std::map<std::string, std::string, std::less<>> origins_;
};

/// \brief Parses a document whose top value is an object.
/// \returns The object, or an empty one after reporting a fault.
boost::json::object parse_document(std::string_view content, std::string_view file,
                                   fault_list& faults);

/// \brief Reports keys that are used twice in one object, which the parser would drop silently.
void report_duplicate_keys(std::string_view content, std::string_view file, fault_list& faults);

/// \brief Checks keys, types and ranges of one file and removes what is faulty.
void check_schema(boost::json::object& document, std::string_view file, fault_list& faults);

} // namespace endivestage::internal
