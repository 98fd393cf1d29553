/// \file
/// \brief Strongly typed identifiers: a zone name cannot be passed where a pool name is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace endivestage
{

/// \brief A name with a distinct type for each kind of object that it identifies.
/// \tparam Tag Distinguishes the kinds of objects; never instantiated.
template <class Tag>
class id
{
public:
    id() = default;
    explicit id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    std::string_view view() const { return value_; }
    bool empty() const { return value_.empty(); }

    auto operator<=>(const id&) const = default;

private:
    std::string value_;
};

using router_id = id<struct router_tag>;
using endpoint_id = id<struct endpoint_tag>;
using pool_id = id<struct pool_tag>;
using team_id = id<struct team_tag>;
using zone_id = id<struct zone_tag>;
using region_id = id<struct region_tag>;
using service_id = id<struct service_tag>;
using chat_id = id<struct chat_tag>;
using request_id = id<struct request_tag>;
using attempt_id = id<struct attempt_tag>;

} // namespace endivestage

/// \cond
template <class Tag>
struct std::hash<endivestage::id<Tag>>
{
    std::size_t operator()(const endivestage::id<Tag>& value) const noexcept
    {
        return std::hash<std::string_view>{}(value.view());
    }
};
/// \endcond
