/// \file
/// \brief Parses configuration files, checks them against the schema and merges them.
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

/// \brief Collects faults and indexes their paths.
class fault_list
{
public:
    void add(configuration_fault_kind kind, std::string_view file, std::string_view path,
             std::string reason);

    /// \returns Whether a fault was reported at \p path or below it. Callers then skip checks that
    ///     depend on this value, because these would only report the same fault again.
    bool has_fault_at(std::string_view path) const;

    /// \returns All faults, sorted by file and path and moved out of the list.
    std::vector<configuration_fault> extract_sorted();

private:
    std::vector<configuration_fault> faults_;
    std::set<std::string, std::less<>> paths_;
};

/// \returns \p path extended by \p key.
std::string join_path(std::string_view path, std::string_view key);

/// \brief The merged document and the file that set each value.
class merged_document
{
public:
    /// \brief Applies a document as a JSON merge patch. Invalid values must have been removed.
    void merge(const boost::json::object& patch, std::string_view file, fault_list& faults);

    /// \returns The merged values.
    const boost::json::object& root() const { return root_; }

    /// \returns The file that last set the value at \p path or, if it is absent, the
    ///     nearest enclosing value.
    std::string_view origin(std::string_view path) const;

private:
    void merge_object(boost::json::object& target, const boost::json::object& patch,
                      const std::string& path, std::string_view file, fault_list& faults);
    void merge_member(boost::json::object& target, std::string_view key,
                      const boost::json::value& value, const std::string& path,
                      std::string_view file, fault_list& faults);
    void remove_origin(const std::string& path);

    boost::json::object root_;
    std::map<std::string, std::string, std::less<>> origins_;
};

/// \brief Parses a document whose top-level value must be an object.
/// \returns The object, or an empty object if a fault was reported.
boost::json::object parse_document(std::string_view content, std::string_view file,
                                   fault_list& faults);

/// \brief Reports duplicate keys within an object, which the JSON parser would drop silently.
void report_duplicate_keys(std::string_view content, std::string_view file, fault_list& faults);

/// \brief Checks the keys, types and ranges of a file's document, reports faults and removes
/// invalid members.
void check_schema(boost::json::object& document, std::string_view file, fault_list& faults);

} // namespace endivestage::internal
