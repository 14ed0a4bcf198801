#include "poplarstream/node/minion_protocol.hpp"

#include <algorithm>  // for max
#include <array>  // for array
#include <cctype>  // for tolower
#include <charconv>  // for from_chars

#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

bool parseNumber(std::string_view text, std::uint32_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size();
}

// Parses "busy/slots"; a malformed text gives an empty report.
traffic::LoadReport parseLoad(std::string_view text)
{
    const std::size_t slash = text.find('/');
    traffic::LoadReport load;
    if (slash == std::string_view::npos || !parseNumber(text.substr(0, slash), load.busy)
        || !parseNumber(text.substr(slash + 1), load.slots)) {
        return {};
    }
    return load;
}

bool isForEntryHosts(std::string_view name)
{
    constexpr std::array<std::string_view, 6> names = {"poplar-request-id", "poplar-load",
                                                       "poplar-state",      "connection",
                                                       "keep-alive",        "content-length"};
    std::string lower(name);
    for (char &c : lower) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return std::find(names.begin(), names.end(), lower) != names.end();
}

}  // namespace

HttpRequest workRequest(const MinionWork &work)
{
    HttpRequest request{.method = "POST", .target = "/work", .body = std::string(work.payload)};
    request.headers = {
            {"Poplar-Request-Id", work.requestId},
            {"Poplar-Service", work.service.text()},
            {"Poplar-Deadline-Ms",
             fmt::format("{}", std::max<std::int64_t>(0, work.deadline.count()))},
            {"Content-Type", "application/octet-stream"},
    };
    return request;
}

HttpRequest probeRequest()
{
    return {.method = "GET", .target = "/health"};
}

MinionResponse parseMinionResponse(const HttpResponse &response)
{
    const auto header = [&](std::string_view name) {
        return headerValue(response.headers, name).value_or(std::string_view{});
    };
    MinionResponse parsed;
    parsed.requestId = header("Poplar-Request-Id");
    parsed.load = parseLoad(header("Poplar-Load"));
    parsed.load.leaving = header("Poplar-State") == "leaving";
    if (response.status < 500) {
        parsed.kind = traffic::ResponseKind::Ok;
    } else if (response.status == 503 && header("Poplar-Verdict") == "not-run") {
        parsed.kind = traffic::ResponseKind::Refused;
    }
    return parsed;
}

HttpResponse callerResponse(HttpResponse response)
{
    std::erase_if(response.headers,
                  [](const HttpHeader &header) { return isForEntryHosts(header.name); });
    return response;
}

}  // namespace poplarstream
