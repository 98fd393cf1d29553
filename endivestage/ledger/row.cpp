#include <endivestage/core/text.hpp>
#include <endivestage/ledger/row.hpp>

#include <boost/json.hpp>

#include <array>
#include <optional>

namespace endivestage
{

namespace
{

namespace json = boost::json;

constexpr std::array<ledger_state, 5> all_states{ledger_state::reserved, ledger_state::sending,
                                                 ledger_state::done, ledger_state::unknown,
                                                 ledger_state::not_run};

std::optional<ledger_state> parse_state(std::string_view name)
{
    for (ledger_state state : all_states)
    {
        if (to_string(state) == name)
        {
            return state;
        }
    }
    return std::nullopt;
}

/// Members of a row's object; remembers whether one was missing or had another type.
class member_reader
{
public:
    explicit member_reader(const json::object& from) : from_(from) {}

    std::string text(std::string_view name)
    {
        const json::value* found = from_.if_contains(name);
        const json::string* value = found != nullptr ? found->if_string() : nullptr;
        ok_ = ok_ && value != nullptr;
        return value != nullptr ? std::string(*value) : std::string();
    }

    std::int64_t number(std::string_view name)
    {
        const json::value* found = from_.if_contains(name);
        const std::int64_t* value = found != nullptr ? found->if_int64() : nullptr;
        ok_ = ok_ && value != nullptr;
        return value != nullptr ? *value : 0;
    }

    bool has(std::string_view name) const { return from_.contains(name); }
    void fail() { ok_ = false; }
    bool ok() const { return ok_; }

private:
    const json::object& from_;
    bool ok_ = true;
};

void append_encoded(std::string& out, std::string_view part)
{
    for (char c : part)
    {
        if (c == '/' || c == '%')
        {
            out += c == '/' ? "%2F" : "%25";
        }
        else
        {
            out += c;
        }
    }
}

void write_answer(json::object& out, const ledger_row& row)
{
    out["status"] = row.answer.status;
    if (!row.body_stored)
    {
        return;
    }
    if (is_utf8(row.answer.body))
    {
        out["body"] = row.answer.body;
    }
    else
    {
        out["body_hex"] = to_hex(row.answer.body);
    }
}

void read_answer(member_reader& from, ledger_row& row)
{
    const std::int64_t status = from.number("status");
    if (status < 0 || status > 999)
    {
        from.fail();
        return;
    }
    row.answer.status = static_cast<int>(status);
    row.body_stored = from.has("body") || from.has("body_hex");
    if (from.has("body"))
    {
        row.answer.body = from.text("body");
    }
    else if (row.body_stored)
    {
        const std::optional<std::string> body = from_hex(from.text("body_hex"));
        row.answer.body = body.value_or("");
        if (!body)
        {
            from.fail();
        }
    }
}

} // namespace

std::string_view to_string(ledger_state state)
{
    switch (state)
    {
    case ledger_state::reserved:
        return "reserved";
    case ledger_state::sending:
        return "sending";
    case ledger_state::done:
        return "done";
    case ledger_state::unknown:
        return "unknown";
    case ledger_state::not_run:
        return "not_run";
    }
    return "unknown";
}

std::string row_key(const team_id& team, std::string_view key)
{
    std::string out = "request/";
    append_encoded(out, team.view());
    out += '/';
    append_encoded(out, key);
    return out;
}

std::string encode_row(const ledger_row& row)
{
    json::object out;
    out["state"] = to_string(row.state);
    out["attempt"] = row.attempt.view();
    out["router"] = row.router.view();
    out["digest"] = row.body_digest;
    out["deadline_ms"] = row.deadline.since_epoch;
    out["changed_ms"] = row.changed.since_epoch;
    if (row.state == ledger_state::done)
    {
        write_answer(out, row);
    }
    return json::serialize(out);
}

result<ledger_row> decode_row(std::string_view text)
{
    if (text.size() > max_row_size)
    {
        return make_error_code(errc::too_large);
    }
    boost::system::error_code ec;
    const json::value parsed = json::parse(text, ec);
    if (ec || !parsed.is_object())
    {
        return make_error_code(errc::invalid_request);
    }
    member_reader from(parsed.get_object());
    const std::optional<ledger_state> state = parse_state(from.text("state"));
    ledger_row row;
    row.state = state.value_or(ledger_state::unknown);
    row.attempt = attempt_id(from.text("attempt"));
    row.router = router_id(from.text("router"));
    row.body_digest = from.text("digest");
    row.deadline = time_point{from.number("deadline_ms")};
    row.changed = time_point{from.number("changed_ms")};
    if (row.state == ledger_state::done)
    {
        read_answer(from, row);
    }
    if (!state || !from.ok() || row.attempt.empty())
    {
        return make_error_code(errc::invalid_request);
    }
    return row;
}

} // namespace endivestage
