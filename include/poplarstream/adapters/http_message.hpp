#pragma once

#include <compare>  // for strong_ordering
#include <cstddef>  // for size_t
#include <cstdint>  // for uint16_t
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

namespace poplarstream {

struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// A complete request. `remote` is the sender's "ip:port" on the server and unused on the client.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    std::string remote;
};

// A complete response. The server sets the framing headers (Content-Length, Connection).
struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
};

// The numeric IP address and port of a server.
struct HttpEndpoint
{
    std::string address;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const HttpEndpoint &, const HttpEndpoint &) = default;
    friend bool operator==(const HttpEndpoint &, const HttpEndpoint &) = default;
};

// The value of the first header with this name, ignoring ASCII case; empty if there is none.
std::optional<std::string_view> headerValue(const HttpHeaders &headers, std::string_view name);

// The number of headers with this name, ignoring ASCII case.
std::size_t headerCount(const HttpHeaders &headers, std::string_view name);

// The value of `name` in the query of a request target, without percent-decoding.
std::optional<std::string_view> queryValue(std::string_view target, std::string_view name);

// The target without its query.
std::string_view targetPath(std::string_view target);

// Parses "ip:port" (IPv6 as "[ip]:port"). Empty for any other text and for port 0.
std::optional<HttpEndpoint> endpointFromText(std::string_view text);

// The inverse of endpointFromText.
std::string endpointText(const HttpEndpoint &endpoint);

// Whether the header can be written without changing the framing of the message: a token as the
// name, and no control characters in the value.
bool isWritableHeader(const HttpHeader &header);

// A response with a JSON body.
HttpResponse jsonResponse(unsigned status, std::string body);

}  // namespace poplarstream
