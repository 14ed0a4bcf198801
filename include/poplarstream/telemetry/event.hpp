#pragma once

#include <initializer_list>  // for initializer_list
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view

namespace poplarstream {

enum class EventLevel { Info, Warning, Error };

// A kind of log event. Its number never changes its meaning; docs/events.md lists all of them.
struct EventKind
{
    int number = 0;
    EventLevel level = EventLevel::Info;
    std::string_view name;
    std::string_view fields;  // the keys, separated by spaces
    std::string_view operatorAction;  // what an operator does about it
};

struct EventField
{
    std::string_view key;
    std::string value;
};

// All kinds, ordered by number.
std::span<const EventKind> eventCatalogue();

// One line: time (UTC, RFC 3339), level, number, name, key=value fields. Values with spaces, quotes
// or control characters are quoted and escaped, so that one event is always one line.
std::string formatEvent(const EventKind &kind, std::string_view time,
                        std::span<const EventField> fields);

// Writes the event to standard output. Safe to call from any thread. Never waits: a line that the
// reader of the output has no room for is dropped, and the next one says how many were.
void logEvent(const EventKind &kind, std::initializer_list<EventField> fields);

// The catalogue as the Markdown table of docs/events.md.
std::string eventCatalogueMarkdown();

}  // namespace poplarstream
