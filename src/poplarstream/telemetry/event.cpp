#include "poplarstream/telemetry/event.hpp"

#include <poll.h>  // for poll
#include <unistd.h>  // for write, STDOUT_FILENO

#include <algorithm>  // for any_of
#include <atomic>  // for atomic
#include <chrono>  // for system_clock
#include <climits>  // for PIPE_BUF

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

// Lines dropped because the output was full. The next line that is written reports the number.
std::atomic<std::uint64_t> droppedLines{0};

// Whether a write to standard output would not block. A writable pipe accepts at least PIPE_BUF
// bytes.
bool canWrite()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

// Writes each line with a single system call, so that lines of different threads are not mixed.
void writeLine(std::string line)
{
    if (!canWrite()) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (const std::uint64_t dropped = droppedLines.exchange(0, std::memory_order_relaxed)) {
        line.insert(line.size() - 1, fmt::format(" dropped_before={}", dropped));
    }
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line += '\n';
    }
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
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
    writeLine(line);
}

}  // namespace poplarstream
