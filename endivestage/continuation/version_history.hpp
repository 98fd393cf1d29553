/// \file
/// \brief Versions whose endpoints may have begun a stream lately.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing/endpoint_directory.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace endivestage
{

/// \returns The name of an endpoint's version. An endpoint whose record states none may run any, so
/// each start of it counts as a version of its own.
std::string version_name(const endpoint_record& endpoint);

/// \returns The hash of version_name().
std::uint64_t version_key(const endpoint_record& endpoint);

/// \brief Limits of \ref version_history.
struct version_history_config
{
    /// Versions of a service that its row lists. More than one make a stream's version ambiguous,
    /// however many there are.
    std::size_t max_listed = 32;
    /// After this time a write that does not show in the copy of the table has failed.
    millis retry_interval{2000};
};

/// \brief The versions of a service that its row has to list.
struct version_row
{
    service_id service;
    std::vector<std::string> versions; ///< In ascending order.
};

/// \brief Remembers for each service which versions served lately.
///
/// Not thread-safe. The times passed in must not decrease.
class version_history
{
public:
    explicit version_history(version_history_config config = {}) : config_(config) {}

    /// \brief Sets for how long a version counts after its last endpoint has gone.
    void set_retention(millis retention) { retention_ = retention; }

    /// \brief Notes that an endpoint's record was in the table until now.
    /// \returns Whether this is the second version that may have begun a stream of its service.
    bool record_endpoint(const endpoint_record& endpoint, time_point now);

    /// \brief Notes the versions that a service's row lists. They may have served until now, since
    /// the router may have started after they had gone.
    void restore(const service_id& service, std::span<const std::string> versions, time_point now);

    /// \brief Notes that the table has no row of a service.
    void record_erased(const service_id& service);

    /// \brief Notes the endpoints of a service that are in the table now.
    void refresh(const service_id& service, const endpoint_directory& endpoints, time_point now);

    /// \returns Whether several versions may have begun a stream, by the latest \ref refresh.
    bool is_mixed(const service_id& service) const;

    /// \returns Keys of the versions that may have begun a stream, by the latest \ref refresh.
    std::vector<std::uint64_t> versions(const service_id& service) const;

    /// \returns Rows that differ from the table's, for the router that writes them.
    std::vector<version_row> find_due(std::span<const service_id> services, time_point now);

private:
    struct service_versions
    {
        std::map<std::string, time_point> last_seen; ///< By name.
        std::set<std::string> stored;
        time_point written_at{-1000000};
    };

    void expire(service_versions& known, time_point now) const;

    version_history_config config_;
    millis retention_{30000};
    std::map<service_id, service_versions> services_;
};

} // namespace endivestage
