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

/// Reads the members of a row's object; records whether one was missing or had another type.
class member_reader
{
public:
    explicit member_reader(const json::object& object) : object_(object) {}

    std::string text(std::string_view name)
    {
        const json::value* found = object_.if_contains(name);
        const json::string* value = found != nullptr ? found->if_string() : nullptr;
        ok_ = ok_ && value != nullptr;
        return value != nullptr ? std::string(*value) : std::string();
    }

    std::int64_t number(std::string_view name)
    {
        const json::value* found = object_.if_contains(name);
        const std::int64_t* value = found != nullptr ? found->if_int64() : nullptr;
        ok_ = ok_ && value != nullptr;
        return value != nullptr ? *value : 0;
    }

    bool has(std::string_view name) const { return object_.contains(name); }
    void fail() { ok_ = false; }
    bool ok() const { return ok_; }

private:
    const json::object& object_;
    bool ok_ = true;
};

void append_percent_encoded(std::string& out, std::string_view part)
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

void read_answer(member_reader& reader, ledger_row& row)
{
    const std::int64_t status = reader.number("status");
    if (status < 0 || status > 999)
    {
        reader.fail();
        return;
    }
    row.answer.status = static_cast<int>(status);
    row.body_stored = reader.has("body") || reader.has("body_hex");
    if (reader.has("body"))
    {
        row.answer.body = reader.text("body");
    }
    else if (row.body_stored)
    {
        const std::optional<std::string> body = from_hex(reader.text("body_hex"));
        row.answer.body = body.value_or("");
        if (!body)
        {
            reader.fail();
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
    append_percent_encoded(out, team.view());
    out += '/';
    append_percent_encoded(out, key);
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
    member_reader reader(parsed.get_object());
    const std::optional<ledger_state> state = parse_state(reader.text("state"));
    ledger_row row;
    row.state = state.value_or(ledger_state::unknown);
    row.attempt = attempt_id(reader.text("attempt"));
    row.router = router_id(reader.text("router"));
    row.body_digest = reader.text("digest");
    row.deadline = time_point{reader.number("deadline_ms")};
    row.changed = time_point{reader.number("changed_ms")};
    if (row.state == ledger_state::done)
    {
        read_answer(reader, row);
    }
    if (!state || !reader.ok() || row.attempt.empty())
    {
        return make_error_code(errc::invalid_request);
    }
    return row;
}

} // namespace endivestage
