#include "poplarstream/console/form.hpp"

#include <algorithm>  // for find_if

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for decodeUrl

namespace poplarstream::console {

namespace {

// Limits the work for a malicious body; the largest console form has about 20 fields.
constexpr std::size_t maxFields = 256;

// The text from after `begin` to the next `end`, or to the end of `text`; nullopt without `begin`.
std::optional<std::string_view> textBetween(std::string_view text, std::string_view begin,
                                            std::string_view end)
{
    const std::size_t from = text.find(begin);
    if (from == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(from + begin.size());
    return rest.substr(0, rest.find(end));
}

std::string boundaryOf(std::string_view contentType)
{
    if (const auto quoted = textBetween(contentType, "boundary=\"", "\"")) {
        return std::string(*quoted);
    }
    return std::string(textBetween(contentType, "boundary=", ";").value_or(""));
}

Form formFromParts(std::string_view boundary, std::string_view body)
{
    std::vector<std::pair<std::string, std::string>> fields;
    const std::string delimiter = fmt::format("--{}", boundary);
    std::size_t at = boundary.empty() ? std::string_view::npos : body.find(delimiter);
    while (at != std::string_view::npos && fields.size() < maxFields) {
        const std::size_t begin = at + delimiter.size();
        const std::size_t end = body.find("\r\n" + delimiter, begin);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view part = body.substr(begin, end - begin);
        const std::size_t headEnd = part.find("\r\n\r\n");
        if (headEnd != std::string_view::npos) {
            if (const auto name = textBetween(part.substr(0, headEnd), " name=\"", "\"")) {
                fields.emplace_back(*name, part.substr(headEnd + 4));
            }
        }
        at = end + 2;
    }
    return Form(std::move(fields));
}

}  // namespace

std::string Form::value(std::string_view name) const
{
    return find(name).value_or("");
}

std::optional<std::string> Form::find(std::string_view name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(),
                                    [&](const auto &field) { return field.first == name; });
    return found != fields_.end() ? std::optional(found->second) : std::nullopt;
}

Form formFromQuery(std::string_view query)
{
    std::vector<std::pair<std::string, std::string>> fields;
    while (!query.empty() && fields.size() < maxFields) {
        const std::string_view field = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals != std::string_view::npos) {
            fields.emplace_back(decodeUrl(field.substr(0, equals)),
                                decodeUrl(field.substr(equals + 1)));
        }
    }
    return Form(std::move(fields));
}

Form formFromBody(std::string_view contentType, std::string_view body)
{
    return contentType.starts_with("multipart/form-data")
                   ? formFromParts(boundaryOf(contentType), body)
                   : formFromQuery(body);
}

std::string cookieValue(std::string_view header, std::string_view name)
{
    while (!header.empty()) {
        std::string_view pair = header.substr(0, header.find(';'));
        header.remove_prefix(std::min(header.size(), pair.size() + 1));
        pair.remove_prefix(std::min(pair.size(), pair.find_first_not_of(' ')));
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
            return std::string(pair.substr(name.size() + 1));
        }
    }
    return {};
}

}  // namespace poplarstream::console
