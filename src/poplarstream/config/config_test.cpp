#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/config/edits.hpp"  // for difference, applyEdits
#include "poplarstream/config/ini.hpp"  // for parseDocument, formatDocument
#include "poplarstream/config/settings.hpp"  // for readSettings
#include "poplarstream/config/stages.hpp"  // for stagedEdits
#include "poplarstream/config/validation.hpp"  // for readConfiguration, readChangedSections
#include "poplarstream/records/codec.hpp"  // for encode

namespace poplarstream {
namespace {

// A small valid document. Tests of errors each make one part of it invalid.
const std::string smallDocument = "[fleet]\nname=small\n"
                                  "[zone a]\nregion=r1\n"
                                  "[zone b]\nregion=r1\n"
                                  "[pool p]\nservices=s\nmax_away=1\n"
                                  "[pool q]\nmax_away=0\nspare=yes\n"
                                  "[service s]\nclass=urgent\ndeadline_ms=900\n"
                                  "[tenant t]\nquota=5\ntoken=secret-1\n"
                                  "[host h1]\nzone=a\nrack=k1\npool=p\ncpus=4\nmemory_mb=64\n"
                                  "worker=127.0.1.1:7000\nminions=127.0.1.1:7100\n"
                                  "[host h2]\nzone=b\nrack=k2\npool=p\ncpus=4\nmemory_mb=64\n"
                                  "worker=127.0.2.1:7000\n"
                                  "[wave w]\npools=p\naction=move\ntarget=q\n";

ConfigDocument parseValid(const std::string &text)
{
    const ParsedDocument parsed = parseDocument(text);
    EXPECT_TRUE(parsed.errors.empty()) << describe(parsed.errors);
    return parsed.document;
}

ConfigErrors errorsAfter(const std::vector<ConfigEdit> &edits)
{
    const ParsedDocument edited = applyEdits(parseValid(smallDocument), edits);
    EXPECT_TRUE(edited.errors.empty()) << describe(edited.errors);
    return readConfiguration(edited.document).errors;
}

// Guards against a check that no longer reports an error, or reports it for the wrong key.
TEST(Validation, OneErrorAtATime)
{
    struct Row
    {
        std::vector<ConfigEdit> edits;
        std::string expected;  // the start of the description of the only error
    };
    const std::vector<Row> rows = {
            {{}, ""},
            {{{"pool p", "max_awya", "1"}},
             "[pool p] max_awya: expected a key of [pool]; the "
             "nearest is 'max_away'"},
            {{{"pool p", "max_away", "3"}}, "[pool p] max_away: expected at most 2"},
            {{{"pool p", "max_away", "-1"}}, "[pool p] max_away: expected a whole number"},
            {{{"pool p", "max_away", std::nullopt}},
             "[pool p] max_away: expected a whole number "
             "from 0 to 100000; the key is missing"},
            {{{"pool p", "spare", "yes"}}, "[pool q] spare: expected no"},
            {{{"pool p", "services", "s,u"}},
             "[pool p] services: expected the name of a "
             "[service]; the nearest is 's', found \"u\""},
            {{{"pool p", "services", "s,s"}}, "[pool p] services: expected each name once"},
            {{{"host h2", "zone", "c"}}, "[host h2] zone: expected the name of a [zone]"},
            {{{"host h2", "rack", "k1"}}, "[host h2] rack: expected a rack of zone 'b'"},
            {{{"rack k2", "zone", "a"}}, "[host h2] rack: expected a rack of zone 'b'"},
            {{{"rack k3", "zone", "c"}}, "[rack k3] zone: expected the name of a [zone]"},
            {{{"host h2", "worker", "127.0.1.1:7100"}},
             "[host h2] worker: expected an address "
             "of its own; host 'h1' has the same"},
            {{{"host h2", "worker", "localhost:1"}}, "[host h2] worker: expected a numeric"},
            {{{"host h2", "cpus", "nan"}}, "[host h2] cpus: expected a number from"},
            {{{"wave w", "target", "z"}}, "[wave w] target: expected the name of a [pool]"},
            {{{"wave w", "target", "p"}}, "[wave w] target: expected a pool that"},
            {{{"wave w", "action", "reboot"}}, "[wave w] target: expected no target"},
            {{{"wave w", "state", "paused"}},
             "[wave w] state: expected running, stopped or "
             "withdrawn, found \"paused\""},
            {{{"wave w", "window_start", "60"}}, "[wave w] window_end: expected a whole number"},
            {{{"service s", "class", "slwo"}}, "[service s] class: expected urgent or slow"},
            {{{"tenant u", "quota", "1"}, {"tenant u", "token", "secret-1"}},
             "[tenant u] token: expected a token of its own; tenant 't' has the same"},
            {{{"hots h3", "zone", "a"}},
             "[hots h3]: expected a section of a known kind; the "
             "nearest is 'host'"},
            {{{"fleet", std::nullopt, std::nullopt}}, "[fleet]: expected the section [fleet]"},
    };
    for (const Row &row : rows) {
        SCOPED_TRACE("given one invalid entry, then one error: " + row.expected);
        const ConfigErrors errors = errorsAfter(row.edits);
        ASSERT_EQ(errors.size(), row.expected.empty() ? 0u : 1u) << describe(errors);
        if (!errors.empty()) {
            EXPECT_EQ(describe(errors[0]).substr(0, row.expected.size()), row.expected);
            EXPECT_EQ(describe(errors[0]).find("secret"), std::string::npos);
        }
    }
}

// Guards against duplicates that are silently accepted, and against errors without a location.
TEST(Ini, SyntaxErrorsHaveALocation)
{
    const std::vector<std::pair<std::string, std::string>> rows = {
            {"[a]\nx=1\nx=2\n", "[a] x: expected each key once in a section (line 3)"},
            {"[a]\nx=1\n[b]\ny=1\n[a]\nz=1\n", "[a]: expected each section once (line 5)"},
            {"x=1\n", "[] x: expected a [section] before the first key"},
            {"[a\nx=1\n", "[a]: expected ']' at the end of a heading (line 1)"},
            {"[a]\nx\n", "[a]: expected key=value, [section] or a comment (line 2)"},
            {"[a]\nx=1\x01z\n", "[a] x: expected text without control characters"},
    };
    for (const auto &[text, expected] : rows) {
        SCOPED_TRACE("given " + text);
        const ConfigErrors errors = parseDocument(text).errors;
        ASSERT_FALSE(errors.empty());
        EXPECT_EQ(describe(errors[0]), expected);
    }
}

// Guards against untrusted documents that crash the parser or change on the way: a document that
// parses without errors must be equal after formatting and parsing, as snapshots do both.
TEST(Ini, FuzzedDocuments)
{
    EXPECT_TRUE(rc::check("format and parse keep every document", [] {
        std::string text = smallDocument;
        const int changes = *rc::gen::inRange(0, 12);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const std::string piece =
                    *rc::gen::element<std::string>("\n", "[", "]", "=", ";", "#", " ", ",", "\r",
                                                   "[zone a]\n", "pool=", "\0", "9", "\xff", "-");
            text.replace(at, *rc::gen::inRange<std::size_t>(0, 20), piece);
        }
        const ParsedDocument parsed = parseDocument(text);
        (void)readConfiguration(parsed.document);
        (void)readSettings(parsed.document);
        if (parsed.errors.empty()) {
            const ParsedDocument again = parseDocument(formatDocument(parsed.document));
            RC_ASSERT(again.errors.empty());
            RC_ASSERT(again.document == parsed.document);
        }
    }));
    EXPECT_TRUE(rc::check("arbitrary bytes do not throw", [](const std::string &text) {
        (void)readConfiguration(parseDocument(text).document);
    }));
}

std::vector<ConfigEdit> arbitraryEdits()
{
    return *rc::gen::container<std::vector<ConfigEdit>>(rc::gen::exec([] {
        ConfigEdit edit;
        edit.section = *rc::gen::element<std::string>("fleet", "zone a", "zone c", "pool p",
                                                      "pool q", "host h1", "host h2", "host h3",
                                                      "wave w", "tenant t", "service s", "rack k1");
        if (*rc::gen::inRange(0, 4) != 0) {
            edit.key = *rc::gen::element<std::string>("pool", "zone", "max_away", "worker", "name",
                                                      "region", "spare", "services", "odd");
            if (*rc::gen::inRange(0, 4) != 0) {
                edit.value = *rc::gen::element<std::string>("a", "p", "q", "1", "2", "yes", "s",
                                                            "127.0.2.1:7000", "");
            }
        }
        return edit;
    }));
}

// Guards against an entry host that reads only the changed sections and then disagrees with one
// that read the whole document.
TEST(Edits, DifferenceAndPartialReading)
{
    EXPECT_TRUE(rc::check("edits reach the document; partial and full reading agree", [] {
        const ConfigDocument from = parseValid(smallDocument);
        const Configuration before = readConfiguration(from).configuration;
        const ConfigDocument to = applyEdits(from, arbitraryEdits()).document;
        const std::vector<ConfigEdit> edits = difference(from, to);
        const ParsedDocument result = applyEdits(from, edits);
        RC_ASSERT(result.errors.empty());
        RC_ASSERT(result.document == to);
        std::vector<SectionId> changed;
        for (const ConfigEdit &edit : edits) {
            changed.emplace_back(edit.section);
        }
        const ConfigurationResult partial = readChangedSections(before, to, changed);
        const ConfigurationResult full = readConfiguration(to);
        RC_ASSERT(partial.errors == full.errors);
        RC_ASSERT(!full.errors.empty() || partial.configuration == full.configuration);
    }));
}

// Guards against removals that hide a race between operators, and against text that corrupts the
// INI format.
TEST(Edits, InvalidEditsAreRejected)
{
    const ConfigDocument document = parseValid(smallDocument);
    const std::vector<ConfigEdit> bad = {{"zone c", std::nullopt, std::nullopt},
                                         {"zone a", "odd", std::nullopt},
                                         {"zone a", std::nullopt, "x"},
                                         {"zone a]", "region", "x"},
                                         {"zone a", "re=gion", "x"},
                                         {"zone a", "region", "x\ny=1"}};
    for (const ConfigEdit &edit : bad) {
        SCOPED_TRACE(edit.section + " " + edit.key.value_or(""));
        const ParsedDocument edited = applyEdits(document, std::span(&edit, 1));
        EXPECT_EQ(edited.errors.size(), 1u);
        EXPECT_EQ(edited.document, document);
    }
}

// Guards against a large first publication with a stage that the log or replay rejects.
TEST(Stages, EachFitsAndIsValid)
{
    std::string text = "[fleet]\nname=large\n[zone a]\nregion=r\n[pool p]\nmax_away=9\n"
                       "[wave w]\npools=p\naction=reboot\n";
    for (int i = 0; i < 1500; ++i) {
        text += "[host h" + std::to_string(i) + "]\nzone=a\nrack=k\npool=p\ncpus=1\n"
                + "memory_mb=1\nworker=127.1." + std::to_string(i / 250) + "."
                + std::to_string(i % 250) + ":7000\n";
    }
    const ConfigDocument large = parseValid(text);
    const ConfigDocument small = parseValid(smallDocument);
    for (const auto &[from, to] :
         {std::pair(ConfigDocument{}, large), std::pair(large, small), std::pair(small, large)}) {
        const auto stages = stagedEdits(from, to);
        ASSERT_TRUE(stages) << stages.failure().message;
        EXPECT_GT(stages.value().size(), 1u);
        ConfigDocument document = from;
        for (const auto &edits : stages.value()) {
            const ControlRecord record{{RecordId("r"), EntryHostId("e")},
                                       ConfigChange{0, "ann", edits}};
            EXPECT_LT(encode(record).size(), maxRecordBytes);
            document = applyEdits(document, edits).document;
            EXPECT_EQ(describe(readConfiguration(document).errors), "");
        }
        EXPECT_EQ(document, to);
    }
    EXPECT_EQ(stagedEdits({}, small).value().size(), 1u);
}

// Guards against a process that starts with incomplete settings.
TEST(Settings, ErrorsAndValues)
{
    const std::string text = "[entry-host]\nid=e1\nzone=a\nregion=r1\n"
                             "[listen]\ncallers=127.0.0.1:8000\noperators=127.0.0.1:8001\n"
                             "peers=127.0.0.1:8002\n[platform]\naddress=127.0.0.1:9000\n"
                             "[peers]\ne2=b 127.0.0.2:8002\n[limits]\nqueue=7\n";
    {
        SCOPED_TRACE("given valid settings, then all values are read");
        const SettingsResult read = readSettings(parseValid(text));
        EXPECT_TRUE(read.errors.empty()) << describe(read.errors);
        EXPECT_EQ(addressText(read.settings.peers.at(EntryHostId("e2")).address), "127.0.0.2:8002");
        EXPECT_EQ(read.settings.limits.queue, 7u);
    }
    {
        SCOPED_TRACE("given errors of several kinds, then each is reported");
        const SettingsResult read = readSettings(
                parseValid("[entry-host]\nid=e1\nzone=a\n[listen]\ncallers=127.0.0.1:1\n"
                           "operators=127.0.0.1:1\npeers=here\n[limit]\nqueue=1\n[peers]\ne1=a "
                           "127.0.0.9:1\n"));
        EXPECT_EQ(read.errors.size(), 6u) << describe(read.errors, 10);
    }
}

}  // namespace
}  // namespace poplarstream
