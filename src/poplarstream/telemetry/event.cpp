#include "poplarstream/telemetry/event.hpp"

#include <algorithm>  // for any_of
#include <chrono>  // for system_clock
#include <cstdio>  // for fwrite, stderr

#include <fmt/chrono.h>  // for gmtime formatting
#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

std::string_view levelText(EventLevel level)
{
    switch (level) {
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "error";
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
           });
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (byte < ' ' || byte == 0x7f) {
            text += fmt::format("\\x{:02x}", byte);
        } else {
            text += c;
        }
    }
    text += '"';
    return text;
}

}  // namespace

std::string formatEvent(const EventKind &kind, std::string_view time,
                        std::span<const EventField> fields)
{
    std::string line =
            fmt::format("{} {} {} {}", time, levelText(kind.level), kind.number, kind.name);
    for (const EventField &field : fields) {
        line += fmt::format(" {}={}", field.key,
                            needsQuotes(field.value) ? quoted(field.value) : field.value);
    }
    return line;
}

void logEvent(const EventKind &kind, std::initializer_list<EventField> fields)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const std::string time = fmt::format(
            "{:%FT%T}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
    const std::string line =
            formatEvent(kind, time, std::span(fields.begin(), fields.size())) + "\n";
    // One call for one line, so that lines of different threads do not mix.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace poplarstream
