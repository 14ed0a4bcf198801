#include <gtest/gtest.h>

#include <fmt/format.h>  // for format
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/console/console_fixture.hpp"  // for press, fleetOf
#include "poplarstream/console/draft_forms.hpp"  // for fieldName

namespace poplarstream::console {
namespace {

using testing::applyChange;
using testing::firstPage;
using testing::fleetOf;
using testing::press;
using testing::smallDocument;

const std::string hostile = "<script>alert(1)</script>\"'&<img src=x onerror=1>\x01\x1b\x7f\xff";

void expectHarmless(const std::string &html)
{
    for (const char *raw :
         {"<script", "<img", "/script&gt;\"", "&quot;'", "&<img", "\x01", "\x1b", "\x7f", "\xff"}) {
        EXPECT_EQ(html.find(raw), std::string::npos) << raw;
    }
}

// Guards against an edit that is lost or changed between two pages: the draft has no other home
// than the page.
TEST(Draft, SurvivesARoundTripThroughAnyEntryHost)
{
    EXPECT_TRUE(rc::check("decodeDraft(encodeDraft(draft)) == draft", [] {
        Draft draft;
        draft.baseVersion = *rc::gen::arbitrary<std::uint64_t>();
        const auto texts = *rc::gen::container<std::vector<std::string>>(
                rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127)));
        for (const std::string &text : texts) {
            DraftEdit edit{{"host " + text, text, std::nullopt}, text};
            if (text.size() % 2 == 0) {
                edit.edit.value = text + "\r\n\"";
            }
            draft.edits.push_back(edit);
        }
        RC_ASSERT(decodeDraft(encodeDraft(draft)) == std::optional(draft));
    }));
}

// Guards against a crash on a hidden field that was tampered with.
TEST(Draft, RefusesTextsThatAreNoDraft)
{
    for (const char *text : {"", "{", "[]", "7", "{\"base\":-1}", "{\"base\":1,\"sections\":7}",
                             "{\"base\":1,\"sections\":[[\"a\",[[1]]]]}"}) {
        EXPECT_FALSE(decodeDraft(text)) << text;
        const FleetState fleet = fleetOf(smallDocument);
        const DraftResponse reply =
                handleDraftForm(testing::testContext(), fleet,
                                Form({{"draft", text}, {"do", "review"}}), testing::freeForecast);
        EXPECT_EQ(reply.action, DraftAction::Show);
        EXPECT_TRUE(reply.draft.edits.empty());
    }
}

// Guards against edits of different forms that overwrite each other, and against a published
// document that differs from the reviewed one.
TEST(DraftPage, GathersEditsOfSeveralFormsIntoOneDocument)
{
    const FleetState fleet = fleetOf(smallDocument);
    SCOPED_TRACE("given edits of a budget, a quota, a wave and a new host");
    DraftResponse reply =
            press(fleet, firstPage(fleet).text, "save", {{fieldName("pool p", "max_away"), "2"}});
    reply = press(fleet, reply.text, "save", {{fieldName("tenant t", "quota"), "99"}});
    reply = press(fleet, reply.text, "save", {{fieldName("wave w", "state"), "running"}});
    reply = press(fleet, reply.text, "save",
                  {{"name", "h3"},
                   {fieldName("host ", "zone"), "a"},
                   {fieldName("host ", "rack"), "r1"},
                   {fieldName("host ", "pool"), "p"},
                   {fieldName("host ", "cpus"), "4"},
                   {fieldName("host ", "memory_mb"), "1024"},
                   {fieldName("host ", "worker"), "127.0.0.1:7009"},
                   {fieldName("host ", "slots"), ""}});
    {
        SCOPED_TRACE("then the review shows old and new values");
        EXPECT_NE(reply.text.find("<td>pool p</td><td>max_away</td><td>1</td><td>2</td>"),
                  std::string::npos);
        EXPECT_NE(reply.text.find("9 edits, 0 faults"), std::string::npos);
    }
    reply = press(fleet, reply.text, "publish", {{"author", "eva"}});
    ASSERT_EQ(reply.action, DraftAction::Publish);
    EXPECT_EQ(reply.author, "eva");
    EXPECT_EQ(reply.draft.baseVersion, 1U);
    EXPECT_EQ(*valueOf(*reply.targetDocument.find(SectionId("pool p")), "max_away"), "2");
    EXPECT_EQ(*valueOf(*reply.targetDocument.find(SectionId("host h3")), "worker"),
              "127.0.0.1:7009");
    EXPECT_EQ(*valueOf(*reply.targetDocument.find(SectionId("tenant t")), "token"), "topsecret");
}

// Guards against faults that an operator can not find, and against publishing them.
TEST(DraftPage, ShowsEachFaultBesideItsField)
{
    const FleetState fleet = fleetOf(smallDocument);
    const DraftResponse reply = press(fleet, firstPage(fleet).text, "save",
                                      {{"section", "pool p"},
                                       {fieldName("pool p", "max_away"), "two"},
                                       {fieldName("pool p", "services"), "s"}});
    const std::size_t input = reply.text.find("id=\"field-max_away\"");
    const std::size_t fault = reply.text.find("id=\"field-max_away-fault\"", input);
    const std::size_t nextField = reply.text.find("<label", input);
    ASSERT_NE(input, std::string::npos);
    EXPECT_LT(fault, nextField) << "the fault stands behind its own field";
    EXPECT_NE(reply.text.find("aria-describedby=\"field-max_away-fault\""), std::string::npos);
    EXPECT_NE(reply.text.find("value=\"two\""), std::string::npos) << "what was typed is kept";
    EXPECT_EQ(reply.text.find("id=\"field-services-fault\""), std::string::npos);
    EXPECT_EQ(press(fleet, reply.text, "publish").action, DraftAction::Show);
}

// Guards against script injection through any field of any form, and through an uploaded document.
TEST(DraftPage, EscapesHostileTextInEveryField)
{
    const FleetState fleet = fleetOf(smallDocument);
    const std::vector<std::string> fields = {"name",   "section",  "filter",
                                             "author", "document", "file"};
    const std::vector<std::string> steps = {"save",
                                            "list host",
                                            "list pool",
                                            "grid tenant",
                                            "grid pool",
                                            "edit host h1",
                                            "edit host x" + hostile,
                                            "upload",
                                            "review 0",
                                            "remove host " + hostile,
                                            "publish",
                                            hostile};
    using Fields = std::vector<std::pair<std::string, std::string>>;
    Fields all;
    for (const std::string &field : fields) {
        all.emplace_back(field, hostile);
    }
    for (const char *kind : {"fleet", "zone", "pool", "service", "tenant", "host", "wave"}) {
        for (const char *key : {"name", "zone", "pool", "token", "class", "pools", "worker"}) {
            all.emplace_back(fieldName(std::string(kind) + " x" + hostile, key), hostile);
            all.emplace_back(fieldName(std::string(kind) + " ", key), hostile);
        }
    }
    for (const std::string &step : steps) {
        SCOPED_TRACE(step);
        DraftResponse reply = press(fleet, firstPage(fleet).text, "save", all);
        EXPECT_GT(reply.draft.edits.size(), 40U) << "the texts are in the draft";
        for (int round = 0; round < 2; ++round) {
            expectHarmless(reply.text);
            expectHarmless(publishedPage(testing::testContext(), fleet, reply.draft, hostile,
                                         {.version = 1, .change = hostile, .reason = hostile}));
            // Without the filter the lists show the hostile sections.
            reply = press(fleet, reply.text, step, round == 0 ? Fields() : all);
        }
        expectHarmless(reply.text);
    }
    const DraftResponse filled = press(fleet, firstPage(fleet).text, "save", all);
    // The next request has bytes that are no UTF-8 replaced, also in the names of sections.
    const auto received = decodeDraft(encodeDraft(filled.draft));
    ASSERT_TRUE(received);
    for (const DraftEdit &entry : received->edits) {
        const std::string page = press(fleet, filled.text, "edit " + entry.edit.section).text;
        expectHarmless(page);
        EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos) << "the text is on the page";
    }
    for (const char *field : {"draft", "do", "grid"}) {
        expectHarmless(handleDraftForm(testing::testContext(), fleet,
                                       Form({{field, hostile}, {"do", "save"}, {all.back()}}),
                                       testing::freeForecast)
                               .text);
    }
}

// Guards against a tenant's token on a page, and against a form that clears it.
TEST(DraftPage, NeverShowsATenantsToken)
{
    const FleetState fleet = fleetOf(smallDocument);
    const std::string page = firstPage(fleet).text;
    for (const char *step : {"edit tenant t", "list tenant", "grid tenant", "review 0"}) {
        EXPECT_EQ(press(fleet, page, step).text.find("topsecret"), std::string::npos) << step;
    }
    const DraftResponse kept = press(fleet, page, "save", {{fieldName("tenant t", "token"), ""}});
    EXPECT_TRUE(kept.draft.edits.empty());
    const DraftResponse changed =
            press(fleet, page, "save", {{fieldName("tenant t", "token"), "new-one"}});
    EXPECT_NE(changed.text.find("<td>token</td><td>set</td><td>set</td>"), std::string::npos);
    EXPECT_EQ(changed.text.find("topsecret"), std::string::npos);
}

// Guards against an operator who does not learn why a change has no effect, or loses the edits.
TEST(DraftPage, ExplainsAChangeThatLosesARace)
{
    FleetState fleet = fleetOf(smallDocument);
    SCOPED_TRACE("given a draft, and another operator who publishes first");
    const DraftResponse reply =
            press(fleet, firstPage(fleet).text, "save",
                  {{fieldName("pool p", "max_away"), "2"}, {fieldName("tenant t", "quota"), "99"}});
    ASSERT_TRUE(applyChange(fleet, {{"pool p", "max_away", "0"}}, "mallory", 1).granted);
    const ControlOutcome lost =
            applyChange(fleet, {{"pool p", "max_away", "2"}}, "eva", reply.draft.baseVersion);
    ASSERT_FALSE(lost.granted);
    const std::string page =
            publishedPage(testing::testContext(), fleet, reply.draft, "eva",
                          {.result = PublishResult::Refused, .version = 2, .reason = lost.reason});
    {
        SCOPED_TRACE("then the page names the winner, the value and the reason");
        EXPECT_NE(page.find("<td>2</td><td>mallory</td>"), std::string::npos);
        EXPECT_NE(page.find("<td>pool p</td><td>max_away</td><td>1</td><td>0</td><td>2</td>"),
                  std::string::npos);
        EXPECT_EQ(page.find("<td>tenant t</td><td>quota</td>"), std::string::npos);
        EXPECT_NE(page.find(escapeHtml(lost.reason)), std::string::npos);
    }
    SCOPED_TRACE("when it is carried over, it is a change against the version in force");
    const DraftResponse carried = press(fleet, page, "rebase");
    EXPECT_EQ(carried.draft.baseVersion, 2U);
    EXPECT_EQ(press(fleet, carried.text, "publish").action, DraftAction::Publish);
}

// Guards against a first publication that needs another tool, and against pages that need a fleet.
TEST(DraftPage, WritesTheFirstDocumentOfAnEmptyState)
{
    const FleetState empty;
    const DraftResponse uploaded =
            press(empty, firstPage(empty).text, "upload", {{"document", smallDocument}});
    EXPECT_EQ(uploaded.draft.baseVersion, 0U);
    EXPECT_EQ(press(empty, uploaded.text, "publish").action, DraftAction::Publish);
    const DraftResponse file = press(empty, uploaded.text, "download");
    EXPECT_EQ(parseDocument(file.text).document, parseDocument(smallDocument).document);
    EXPECT_NE(press(empty, uploaded.text, "upload", {{"document", "nonsense"}})
                      .text.find("can not be read"),
              std::string::npos);
}

// Guards against pages that grow with the fleet.
TEST(DraftPage, PagesThroughFourAndAHalfThousandHosts)
{
    std::string text = smallDocument;
    for (int i = 0; i < 4'500; ++i) {
        text += fmt::format("[host n{:04}]\nzone=a\nrack=k{}\npool=q\ncpus=4\nmemory_mb=1024\n"
                            "worker=127.2.{}.{}:7000\n",
                            i, i / 4, i / 250, i % 250 + 1);
    }
    const FleetState fleet = fleetOf(text);
    ASSERT_EQ(fleet.hosts.size(), 4'503U);
    const std::string page = firstPage(fleet).text;
    const std::string last = press(fleet, page, "list host 9999").text;
    EXPECT_LT(last.size(), 60'000U);
    EXPECT_NE(last.find("Page 91 of 91"), std::string::npos);
    EXPECT_NE(last.find("host n4499"), std::string::npos);
    EXPECT_NE(press(fleet, page, "list host", {{"filter", "n0007"}}).text.find("Page 1 of 1"),
              std::string::npos);
}

}  // namespace
}  // namespace poplarstream::console
