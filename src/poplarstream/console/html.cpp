#include "poplarstream/console/html.hpp"

#include <cstdint>  // for uint32_t
#include <optional>  // for optional

#include <fmt/format.h>  // for format

namespace poplarstream::console {

namespace {

constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

struct Character
{
    std::uint32_t code = 0;
    std::size_t length = 0;
};

// Decodes the first character of `text`; nullopt if it is not well-formed UTF-8.
std::optional<Character> decodeFirstCharacter(std::string_view text)
{
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char lead = byte(0);
    if (lead < 0x80) {
        return Character{lead, 1};
    }
    const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
    if (lead < 0xc2 || lead > 0xf4 || text.size() < length) {
        return std::nullopt;
    }
    std::uint32_t code = lead & (0xffU >> (length + 1));
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xc0U) != 0x80U) {
            return std::nullopt;
        }
        code = (code << 6U) | (byte(i) & 0x3fU);
    }
    constexpr std::uint32_t minimumCode[] = {0, 0, 0x80, 0x800, 0x10000};
    const bool isSurrogate = code >= 0xd800 && code < 0xe000;
    if (code < minimumCode[length] || code > 0x10ffff || isSurrogate) {
        return std::nullopt;
    }
    return Character{code, length};
}

bool isControl(std::uint32_t code)
{
    return (code < 0x20 && code != '\t' && code != '\n') || (code >= 0x7f && code < 0xa0);
}

std::optional<int> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

}  // namespace

std::string escapeHtml(std::string_view text)
{
    std::string html;
    html.reserve(text.size());
    while (!text.empty()) {
        const auto character = decodeFirstCharacter(text);
        const std::size_t length = character ? character->length : 1;
        if (!character || isControl(character->code)) {
            html += replacementCharacter;
        } else if (text[0] == '&') {
            html += "&amp;";
        } else if (text[0] == '<') {
            html += "&lt;";
        } else if (text[0] == '>') {
            html += "&gt;";
        } else if (text[0] == '"') {
            html += "&quot;";
        } else if (text[0] == '\'') {
            html += "&#39;";
        } else {
            html += text.substr(0, length);
        }
        text.remove_prefix(length);
    }
    return html;
}

std::string encodeUrl(std::string_view text)
{
    constexpr std::string_view unreserved = "-._~";
    std::string url;
    for (const char c : text) {
        const bool isAlphanumeric =
                (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (isAlphanumeric || unreserved.find(c) != std::string_view::npos) {
            url += c;
        } else {
            url += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return url;
}

std::string decodeUrl(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto high = hexDigit(text[i + 1]);
            const auto low = hexDigit(text[i + 2]);
            if (high && low) {
                decoded += static_cast<char>(*high * 16 + *low);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

}  // namespace poplarstream::console
