/// \file
/// \brief Which records of quarantined parts this router has to store or erase.
#pragma once

#include <endivestage/routing/prompt_quarantine.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Limits of \ref quarantine_records.
struct quarantine_records_config
{
    /// Other routers hear of a crash and of a clearance within this time.
    millis initial_delay{500};
    /// Interval at which more routers become entitled to a write.
    millis step{1000};
    /// A write shows in the copies of the table within this time.
    millis retry_interval{5000};
    std::size_t max_writes_at_once = 4;
    std::size_t max_records = 256;
};

/// \brief Writes of one router to the table of records.
struct quarantine_writes
{
    std::vector<quarantine_record> to_store;
    std::vector<std::uint64_t> to_erase; ///< Parts.
};

/// \brief Compares the quarantines that a router knows with the records in its copy of the table.
///
/// Any router can write a record. About one does, others later if it has not.
class quarantine_records
{
public:
    /// \param self Hash of this router's id.
    explicit quarantine_records(std::uint64_t self, quarantine_records_config config = {})
        : self_(self),
          config_(config)
    {
    }

    /// \brief Notes that the table has a record.
    void record_stored(const quarantine_record& record);

    /// \brief Notes that the table no longer has a record.
    void record_erased(std::uint64_t part);

    /// \param known The quarantines that this router knows.
    /// \param routers Number of routers that may be running, at least 1.
    /// \returns What this router has to write now.
    quarantine_writes find_due(std::span<const quarantine_record> known, std::size_t routers,
                               time_point now);

private:
    struct entry
    {
        std::vector<std::uint64_t> stored;       ///< Crashes in the record; empty without one.
        std::optional<time_point> differs_since; ///< Set while the record is to be written.
        std::optional<time_point> written_at;    ///< This router's latest write.
    };

    bool is_due(std::uint64_t part, entry& record, std::size_t routers, time_point now) const;
    std::size_t count_stored() const;

    std::uint64_t self_;
    quarantine_records_config config_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace endivestage
