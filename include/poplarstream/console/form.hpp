#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <utility>  // for pair
#include <vector>  // for vector

namespace poplarstream::console {

// The decoded fields of a form post or URL query, in their original order.
class Form
{
public:
    Form() = default;
    explicit Form(std::vector<std::pair<std::string, std::string>> fields)
        : fields_(std::move(fields))
    {}

    // The value of the first field with this name; empty if there is none.
    std::string value(std::string_view name) const;
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const { return fields_; }

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

// Parses `name=value&...`, as in the query part of a URL.
Form formFromQuery(std::string_view query);

// Parses the untrusted body of a form post, as multipart/form-data or
// application/x-www-form-urlencoded according to `contentType`. Malformed parts are skipped.
Form formFromBody(std::string_view contentType, std::string_view body);

// The value of the cookie `name` in a Cookie header; empty if there is none.
std::string cookieValue(std::string_view header, std::string_view name);

}  // namespace poplarstream::console
