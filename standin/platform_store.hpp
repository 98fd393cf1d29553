/// \file
/// \brief Stand-in for the store of the users' platform: rows, feeds and transactions over HTTP.
#pragma once

#include <endivestage/daemon/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace endivestage::standin
{

/// \brief Faults that the store simulates.
struct store_faults
{
    int status = 0;      ///< Respond to every call with this status; 0 responds normally.
    bool silent = false; ///< Do not respond while this is set.
    bool reset = false;  ///< Close every connection without a response.
    /// Responses that are due while this is set are lost; their connections deliver nothing more.
    bool lose_responses = false;
    std::string lost_table;            ///< The same for the feed of this table only.
    bool lose_write_responses = false; ///< Apply writes without a response.
    bool drop_history = false;         ///< Respond to the next feed with 410; cleared then.
    bool repeat_pages = false;         ///< Begin every page of a list with the first row.
};

/// \brief Store that keeps its rows in memory. Single-threaded.
class platform_store
{
public:
    explicit platform_store(boost::asio::io_context& context);

    /// \brief Listens on a free port of loopback.
    std::error_code start();

    std::uint16_t port() const { return server_.port(); }

    /// \brief Writes a row as the operator or an engine does.
    /// \param data Not encoded; the store keeps it in base64.
    void put(const std::string& table, const std::string& key, const std::string& data);
    void erase(const std::string& table, const std::string& key);

    /// \brief Keeps a copy of the rows, from which \ref restore continues.
    void keep_copy() { copy_ = {rows_, revision_}; }

    /// \brief Goes back to the copy: later rows are gone, their revisions are given out again, and
    /// the era rises. Open calls get no response.
    void restore();

    store_faults faults;

    /// Stated in all responses unless it is 0.
    std::uint64_t era = 0;

    /// \returns Number of calls received so far.
    std::uint64_t calls() const { return calls_; }

    /// \returns Number of calls so far that read the rows of a table or a page of them.
    std::uint64_t lists() const { return lists_; }

    /// \returns The decoded data of a row; empty if the row does not exist.
    std::string get(const std::string& table, const std::string& key) const;

private:
    struct row
    {
        std::string data; ///< In base64.
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    using row_key = std::pair<std::string, std::string>; ///< Table and key.

    /// \brief Rows at an earlier time.
    struct stored_copy
    {
        std::map<row_key, row> rows;
        std::uint64_t revision = 1;
    };

    daemon::awaitable<void> send(daemon::http_response response,
                                 daemon::response_writer& writer) const;
    daemon::awaitable<void> respond(daemon::http_request request, daemon::response_writer& writer);
    daemon::awaitable<void> respond_to_feed(const daemon::http_target& target,
                                            daemon::response_writer& writer);
    daemon::awaitable<void> respond_to_transaction(std::string body,
                                                   daemon::response_writer& writer);
    /// \brief Waits without end if the response to a call is lost.
    /// \param table The table of a feed; empty for other calls.
    daemon::awaitable<void> lose_response(std::string table) const;
    /// \brief Rows to respond with.
    struct row_selection
    {
        std::string table;
        std::uint64_t since = 0; ///< Only rows with a revision above this one.
        std::string first_key;
        std::size_t max_rows = 0; ///< 0 for all rows, deleted ones included, as a feed has them.
    };

    /// \returns The rows as JSON.
    std::string list_rows(const row_selection& selection) const;
    bool has_changed(const std::string& table, std::uint64_t since) const;

    boost::asio::io_context& context_;
    daemon::http_server server_;
    std::map<row_key, row> rows_;
    std::uint64_t revision_ = 1;
    stored_copy copy_;
    std::uint64_t restores_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t lists_ = 0;
};

} // namespace endivestage::standin
