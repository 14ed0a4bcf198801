#pragma once

#include <initializer_list>  // for initializer_list
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view

namespace poplarstream {

enum class EventLevel { Info, Warning, Error };

// A kind of log event. The meaning of a number never changes; docs/events.md lists all kinds.
struct EventKind
{
    int number = 0;
    EventLevel level = EventLevel::Info;
    std::string_view name;
    std::string_view fields;  // the keys, separated by spaces
    std::string_view operatorAction;  // what an operator should do
};

struct EventField
{
    std::string_view key;
    std::string value;
};

// All kinds, ordered by number.
std::span<const EventKind> eventCatalogue();

// Formats an event as one line: time (UTC, RFC 3339), level, number, name, key=value fields. Values
// with spaces, quotes or control characters are quoted and escaped, so an event is always one line.
std::string formatEvent(const EventKind &kind, std::string_view time,
                        std::span<const EventField> fields);

// Writes the event to standard output. Thread-safe. Never blocks: if the output is full, the line
// is dropped, and the next line that is written reports the number of dropped lines.
void logEvent(const EventKind &kind, std::initializer_list<EventField> fields);

// Returns the catalogue as the Markdown table in docs/events.md.
std::string eventCatalogueMarkdown();

}  // namespace poplarstream
