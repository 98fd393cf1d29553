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
    /// Interval at which more routers become entitled to a write. A write shows in most copies of
    /// the table within it.
    millis step{500};
    /// A starting router takes part in a stored quarantine within this time, and must not erase the
    /// record before.
    millis erase_delay{2000};
    /// After this time a write that does not show in the copy of the table has failed.
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

    bool is_due(std::uint64_t part, entry& record, millis delay, std::size_t routers,
                time_point now) const;
    std::size_t count_stored() const;

    std::uint64_t self_;
    quarantine_records_config config_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace endivestage
