#include "poplarstream/adapters/http_message.hpp"

#include <algorithm>  // for all_of, count_if, equal
#include <charconv>  // for from_chars

namespace poplarstream {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z')
           || marks.find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool isNamed(const HttpHeader &header, std::string_view name)
{
    return std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

}  // namespace

std::optional<std::string_view> headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (isNamed(header, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::size_t headerCount(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
            std::count_if(headers.begin(), headers.end(),
                          [name](const HttpHeader &header) { return isNamed(header, name); }));
}

std::optional<std::string_view> queryValue(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
        }
    }
    return std::nullopt;
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<HttpEndpoint> endpointFromText(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    } else if (address.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    HttpEndpoint endpoint{std::string(address), 0};
    const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (error != std::errc{} || end != digits.data() + digits.size() || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

std::string endpointText(const HttpEndpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    return (isV6 ? "[" + endpoint.address + "]" : endpoint.address) + ":"
           + std::to_string(endpoint.port);
}

bool isWritableHeader(const HttpHeader &header)
{
    return !header.name.empty()
           && std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)
           && std::all_of(header.value.begin(), header.value.end(), isValueCharacter);
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace poplarstream
