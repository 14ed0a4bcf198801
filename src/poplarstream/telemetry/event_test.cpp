#include "poplarstream/telemetry/event.hpp"

#include <fstream>  // for ifstream
#include <set>  // for set
#include <sstream>  // for ostringstream

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/telemetry/event_kinds.hpp"  // for requestRefused

namespace poplarstream {
namespace {

// Guards against documentation that does not list the events of the program.
TEST(Events, Catalogue)
{
    SCOPED_TRACE("given docs/events.md and the event catalogue");
    std::ifstream file(POPLAR_SOURCE_DIR "/docs/events.md");
    std::ostringstream page;
    page << file.rdbuf();
    {
        SCOPED_TRACE("then the page contains the generated table");
        EXPECT_NE(page.str().find(eventCatalogueMarkdown()), std::string::npos)
                << eventCatalogueMarkdown();
    }
    {
        SCOPED_TRACE("then numbers are ascending and names are unique");
        std::set<std::string_view> names;
        int last = 0;
        for (const EventKind &kind : eventCatalogue()) {
            EXPECT_GT(kind.number, last);
            last = kind.number;
            EXPECT_TRUE(names.insert(kind.name).second) << kind.name;
        }
    }
}

// Guards against log injection: untrusted text must not start a new line or a new field.
TEST(Events, Escaping)
{
    const EventField fields[] = {{"a", "plain"}, {"b", "two words\n500 \"x\""}, {"c", ""}};
    EXPECT_EQ(formatEvent(events::requestRefused, "T", fields),
              "T info 500 request-refused a=plain b=\"two words\\x0a500 \\\"x\\\"\" c=\"\"");
}

}  // namespace
}  // namespace poplarstream
