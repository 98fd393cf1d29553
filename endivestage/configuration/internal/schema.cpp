#include <endivestage/configuration/internal/address_text.hpp>
#include <endivestage/configuration/internal/document.hpp>

#include <algorithm>
#include <array>
#include <span>

namespace endivestage::internal
{

namespace
{

namespace json = boost::json;

enum class value_kind
{
    text,     ///< Non-empty string.
    name,     ///< String that may occur in a key path.
    host,     ///< IP address.
    digest,   ///< 64 lower-case hexadecimal digits.
    method,   ///< HTTP method.
    prefix,   ///< String that starts with '/'.
    number,   ///< Number in [min, max].
    integer,  ///< Integer in [min, max].
    boolean,  ///< true or false.
    object,   ///< Object with the given keys.
    entries,  ///< Object that maps names to values of one kind.
    sequence, ///< Array of values of one kind.
};

struct key_rule;

struct value_rule
{
    value_kind kind = value_kind::text;
    double min = 0;
    double max = 0;
    std::span<const key_rule> keys{};    ///< Permitted keys of an object.
    const value_rule* element = nullptr; ///< Rule for each value of entries or a sequence.
};

struct key_rule
{
    std::string_view key;
    value_rule rule;
};

constexpr value_rule text{value_kind::text};
constexpr value_rule name{value_kind::name};
constexpr value_rule boolean{value_kind::boolean};
constexpr value_rule weight{value_kind::number, 0.001, 1000};

constexpr value_rule integer(double min, double max)
{
    return {value_kind::integer, min, max};
}

constexpr value_rule object_of(std::span<const key_rule> keys)
{
    return {value_kind::object, 0, 0, keys, nullptr};
}

constexpr value_rule collection(value_kind kind, const value_rule& element)
{
    return {kind, 0, 0, {}, &element};
}

constexpr std::array endpoint_keys{
    key_rule{"host", {value_kind::host}},
    key_rule{"port", integer(1, 65535)},
    key_rule{"zone", name},
    key_rule{"capacity", weight},
    key_rule{"fencing", boolean},
};
constexpr value_rule endpoint_object = object_of(endpoint_keys);

constexpr std::array pool_keys{
    key_rule{"model", text},
    key_rule{"region", name},
    key_rule{"load_bound", {value_kind::number, 1, 10}},
    key_rule{"cold_start_permits", integer(1, 1000)},
    key_rule{"candidates", integer(1, 16)},
    key_rule{"first_token_target_ms", integer(1, 600'000)},
    key_rule{"engines", collection(value_kind::entries, endpoint_object)},
};
constexpr value_rule pool_object = object_of(pool_keys);

constexpr std::array service_pool_keys{
    key_rule{"region", name},
    key_rule{"endpoints", collection(value_kind::entries, endpoint_object)},
};
constexpr value_rule service_pool_object = object_of(service_pool_keys);

constexpr std::array route_keys{
    key_rule{"method", {value_kind::method}},
    key_rule{"prefix", {value_kind::prefix}},
    key_rule{"idempotent", boolean},
};
constexpr value_rule route_object = object_of(route_keys);

constexpr std::array service_keys{
    key_rule{"pools", collection(value_kind::entries, service_pool_object)},
    key_rule{"routes", collection(value_kind::sequence, route_object)},
};
constexpr value_rule service_object = object_of(service_keys);

constexpr std::array team_keys{
    key_rule{"weight", weight},
    key_rule{"token_digest", {value_kind::digest}},
    key_rule{"priority_ceiling", integer(0, 1000)},
};
constexpr value_rule team_object = object_of(team_keys);

constexpr std::array zone_keys{key_rule{"region", name}};
constexpr value_rule zone_object = object_of(zone_keys);
constexpr value_rule priority_level = integer(0, 1000);

constexpr std::array limit_keys{
    key_rule{"request_bytes", integer(1'024, 1'073'741'824)},
    key_rule{"queue_per_team", integer(1, 1'000'000)},
    key_rule{"request_deadline_ms", integer(1, 86'400'000)},
    key_rule{"retry_ratio", {value_kind::number, 0, 1}},
    key_rule{"address_lifetime_ms", integer(100, 3'600'000)},
};

constexpr std::array document_keys{
    key_rule{"pools", collection(value_kind::entries, pool_object)},
    key_rule{"services", collection(value_kind::entries, service_object)},
    key_rule{"teams", collection(value_kind::entries, team_object)},
    key_rule{"zones", collection(value_kind::entries, zone_object)},
    key_rule{"priorities", collection(value_kind::entries, priority_level)},
    key_rule{"limits", object_of(limit_keys)},
};

bool is_name(std::string_view text)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
    return !text.empty() && text.size() <= 128 &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_method(std::string_view text)
{
    constexpr std::array<std::string_view, 7> methods{"GET",   "HEAD",   "POST",   "PUT",
                                                      "PATCH", "DELETE", "OPTIONS"};
    return std::find(methods.begin(), methods.end(), text) != methods.end();
}

bool is_digest(std::string_view text)
{
    return text.size() == 64 &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// \returns Why the text is not valid; empty if it is valid.
std::string_view text_fault_reason(value_kind kind, std::string_view text)
{
    switch (kind)
    {
    case value_kind::name:
        return is_name(text) ? "" : "must be 1 to 128 letters, digits, '_' or '-'";
    case value_kind::host:
        return canonical_address(text).empty() ? "must be an IPv4 or IPv6 address" : "";
    case value_kind::digest:
        return is_digest(text) ? "" : "must be 64 lower-case hexadecimal digits";
    case value_kind::method:
        return is_method(text) ? "" : "must be an HTTP method in upper case";
    case value_kind::prefix:
        return text.starts_with('/') ? "" : "must start with '/'";
    default:
        return text.empty() ? "must not be empty" : "";
    }
}

class schema_checker
{
public:
    schema_checker(std::string_view file, fault_list& faults) : file_(file), faults_(&faults) {}

    bool check(json::value& value, const value_rule& rule, const std::string& path)
    {
        switch (rule.kind)
        {
        case value_kind::number:
        case value_kind::integer:
            return check_number(value, rule, path);
        case value_kind::boolean:
            return value.is_bool() || wrong_type(path, "true or false");
        case value_kind::object:
            return check_object(value, rule, path);
        case value_kind::entries:
            return check_entries(value, rule, path);
        case value_kind::sequence:
            return check_sequence(value, rule, path);
        default:
            return check_text(value, rule.kind, path);
        }
    }

    /// Removes the members for which \p check_member returns false.
    template <class Check>
    void check_members(json::object& members, const std::string& path, Check check_member)
    {
        for (auto it = members.begin(); it != members.end();)
        {
            const std::string key(it->key().data(), it->key().size());
            it = check_member(key, it->value(), join_path(path, key)) ? it + 1 : members.erase(it);
        }
    }

    bool check_object(json::value& value, const value_rule& rule, const std::string& path)
    {
        if (!value.is_object())
        {
            return wrong_type(path, "an object");
        }
        check_members(
            value.get_object(), path,
            [&](const std::string& key, json::value& member, const std::string& member_path)
            {
                const auto match =
                    std::find_if(rule.keys.begin(), rule.keys.end(),
                                 [&](const key_rule& candidate) { return candidate.key == key; });
                if (match == rule.keys.end())
                {
                    return fault(configuration_fault_kind::unknown_key, member_path, "unknown key");
                }
                return is_removal(member) || check(member, match->rule, member_path);
            });
        return true;
    }

private:
    /// Whether a member is null and thus removes an entry in the merge. Sequences are replaced as a
    /// whole, so null has no meaning inside them.
    bool is_removal(const json::value& member) const { return member.is_null() && !in_sequence_; }

    bool fault(configuration_fault_kind kind, const std::string& path, std::string reason)
    {
        faults_->add(kind, file_, path, std::move(reason));
        return false;
    }

    bool wrong_type(const std::string& path, std::string_view expected)
    {
        return fault(configuration_fault_kind::wrong_type, path,
                     "must be " + std::string(expected));
    }

    bool check_entries(json::value& value, const value_rule& rule, const std::string& path)
    {
        if (!value.is_object())
        {
            return wrong_type(path, "an object");
        }
        check_members(
            value.get_object(), path,
            [&](const std::string& key, json::value& member, const std::string& member_path)
            {
                if (!is_name(key))
                {
                    return fault(configuration_fault_kind::out_of_range, member_path,
                                 "a name " + std::string(text_fault_reason(value_kind::name, key)));
                }
                return is_removal(member) || check(member, *rule.element, member_path);
            });
        return true;
    }

    bool check_sequence(json::value& value, const value_rule& rule, const std::string& path)
    {
        if (!value.is_array())
        {
            return wrong_type(path, "an array");
        }
        in_sequence_ = true;
        // An invalid element is replaced by an empty object instead of removed, so that the
        // positions of the other elements stay those of the file.
        for (std::size_t n = 0; n < value.get_array().size(); ++n)
        {
            json::value& element = value.get_array()[n];
            const std::string element_path = join_path(path, std::to_string(n));
            if (!check(element, *rule.element, element_path))
            {
                element = json::object();
            }
        }
        in_sequence_ = false;
        return true;
    }

    bool check_text(const json::value& value, value_kind kind, const std::string& path)
    {
        if (!value.is_string())
        {
            return wrong_type(path, "a string");
        }
        const json::string& text = value.get_string();
        const std::string_view reason = text_fault_reason(kind, {text.data(), text.size()});
        return reason.empty() ||
               fault(configuration_fault_kind::out_of_range, path, std::string(reason));
    }

    bool check_number(const json::value& value, const value_rule& rule, const std::string& path)
    {
        const bool integral = value.is_int64() || value.is_uint64();
        if (!integral && (rule.kind == value_kind::integer || !value.is_double()))
        {
            return wrong_type(path, rule.kind == value_kind::integer ? "an integer" : "a number");
        }
        const double n = value.to_number<double>();
        if (n >= rule.min && n <= rule.max)
        {
            return true;
        }
        return fault(configuration_fault_kind::out_of_range, path,
                     "must be from " + json::serialize(json::value(rule.min)) + " to " +
                         json::serialize(json::value(rule.max)));
    }

    std::string_view file_;
    fault_list* faults_;
    bool in_sequence_ = false;
};

} // namespace

void check_schema(json::object& document, std::string_view file, fault_list& faults)
{
    json::value root(std::move(document));
    schema_checker(file, faults).check_object(root, object_of(document_keys), "");
    document = std::move(root.get_object());
}

} // namespace endivestage::internal
