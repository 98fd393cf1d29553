/// \file
/// \brief Encodes the changes of a table once for all followers of a relay.
#pragma once

#include <endivestage/replication/table_replica.hpp>

#include <cstdint>
#include <deque>
#include <memory>

namespace endivestage
{

/// \brief Part of a response body. Large parts are kept in compressed form only.
struct encoded_fragment
{
    std::string text;           ///< The uncompressed text; empty if \ref compressed is not.
    std::string compressed;     ///< The compressed text; empty if the fragment is small.
    std::size_t text_bytes = 0; ///< Length of the uncompressed text.
    std::uint32_t checksum = 0; ///< Checksum of the uncompressed text.
};

/// \brief Encodes changes in the form in which they are sent.
class change_encoder
{
public:
    virtual ~change_encoder() = default;

    /// \param settling Whether deleted rows may have expired in an outage of the table service.
    virtual encoded_fragment encode(const change_batch& batch, bool settling) = 0;

protected:
    change_encoder() = default;
    change_encoder(const change_encoder&) = default;
    change_encoder& operator=(const change_encoder&) = default;
};

/// \brief Keeps the encoded changes of one table until the table changes.
///
/// Nearly all followers of a relay ask for the changes since the same revision, and a configuration
/// can have hundreds of kilobytes. Encoding it for each follower would occupy a relay for longer
/// than its followers wait.
class encoded_change_cache
{
public:
    /// \param encoder Must outlive the cache.
    /// \param max_entries Number of encoded batches that are kept; at least 1.
    explicit encoded_change_cache(change_encoder& encoder, std::size_t max_entries = 4)
        : encoder_(encoder),
          max_entries_(max_entries)
    {
    }

    /// \returns The encoded changes of \p replica after \p since. They stay valid when the cache
    /// drops them.
    std::shared_ptr<const encoded_fragment>
    changes_since(const table_replica& replica, const table_position& since, bool settling);

    /// \returns The number of batches kept.
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        table_position since; ///< Revision 0 for the whole table.
        bool settling = false;
        std::shared_ptr<const encoded_fragment> encoded;
    };

    change_encoder& encoder_;
    std::size_t max_entries_;
    std::uint64_t generation_ = 0; ///< Generation of the replica that the entries belong to.
    std::deque<entry> entries_;    ///< Oldest first.
};

} // namespace endivestage
