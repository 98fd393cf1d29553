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

/// \brief What the store does instead of answering.
struct store_faults
{
    int status = 0;                    ///< Answer every call with this status; 0 answers normally.
    bool silent = false;               ///< Never answer.
    bool reset = false;                ///< Close every connection without an answer.
    bool lose_write_responses = false; ///< Do writes but do not answer them.
    bool drop_history = false;         ///< Answer feeds with 410 once.
};

/// \brief Keeps rows in memory. Single-threaded.
class platform_store
{
public:
    explicit platform_store(boost::asio::io_context& context);

    /// \brief Listens on a free port of loopback.
    std::error_code start();

    std::uint16_t port() const { return server_.port(); }

    /// \brief Writes a row as the operator or an engine does.
    /// \param data Before base64.
    void put(const std::string& table, const std::string& key, const std::string& data);
    void erase(const std::string& table, const std::string& key);

    store_faults faults;

    /// \returns Calls answered or refused so far.
    std::uint64_t calls() const { return calls_; }

    /// \returns The data of a row; empty without one.
    std::string get(const std::string& table, const std::string& key) const;

private:
    struct row
    {
        std::string data; ///< In base64.
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    using row_key = std::pair<std::string, std::string>; ///< Table and key.

    daemon::awaitable<void> answer(daemon::http_request request, daemon::response_writer& writer);
    daemon::awaitable<void> answer_feed(const daemon::http_target& target,
                                        daemon::response_writer& writer);
    daemon::awaitable<void> answer_transaction(std::string body, daemon::response_writer& writer);
    std::string list(const std::string& table, std::uint64_t since, bool with_deleted) const;
    bool changed(const std::string& table, std::uint64_t since) const;

    boost::asio::io_context& context_;
    daemon::http_server server_;
    std::map<row_key, row> rows_;
    std::uint64_t revision_ = 1;
    std::uint64_t calls_ = 0;
};

} // namespace endivestage::standin
