#include <gtest/gtest.h>

#include <fmt/format.h>  // for format
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/console/console_fixture.hpp"  // for pressButton, fleetOf
#include "poplarstream/console/draft_forms.hpp"  // for fieldName

namespace poplarstream::console {
namespace {

using testing::applyChange;
using testing::fleetOf;
using testing::openDraft;
using testing::pressButton;
using testing::smallDocument;

const std::string hostile = "<script>alert(1)</script>\"'&<img src=x onerror=1>\x01\x1b\x7f\xff";

void expectHarmless(const std::string &html)
{
    for (const char *raw :
         {"<script", "<img", "/script&gt;\"", "&quot;'", "&<img", "\x01", "\x1b", "\x7f", "\xff"}) {
        EXPECT_EQ(html.find(raw), std::string::npos) << raw;
    }
}

// Guards against an edit that is lost or changed between two pages: the draft is stored only in the
// page.
TEST(Draft, EncodingRoundTrips)
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

// Guards against a crash on a modified hidden draft field.
TEST(Draft, RejectsMalformedText)
{
    for (const char *text : {"", "{", "[]", "7", "{\"base\":-1}", "{\"base\":1,\"sections\":7}",
                             "{\"base\":1,\"sections\":[[\"a\",[[1]]]]}"}) {
        EXPECT_FALSE(decodeDraft(text)) << text;
        const FleetState fleet = fleetOf(smallDocument);
        const DraftResponse response =
                handleDraftForm(testing::testPageContext(), fleet,
                                Form({{"draft", text}, {"do", "review"}}), testing::emptyForecast);
        EXPECT_EQ(response.action, DraftAction::Show);
        EXPECT_TRUE(response.draft.edits.empty());
    }
}

// Guards against edits from different forms that overwrite each other, and against a published
// document that differs from the reviewed one.
TEST(DraftPage, CombinesEditsFromSeveralForms)
{
    const FleetState fleet = fleetOf(smallDocument);
    SCOPED_TRACE("a draft with edits to a budget, a quota and a wave, and a new host");
    DraftResponse response = pressButton(fleet, openDraft(fleet).text, "save",
                                         {{fieldName("pool p", "max_away"), "2"}});
    response = pressButton(fleet, response.text, "save", {{fieldName("tenant t", "quota"), "99"}});
    response =
            pressButton(fleet, response.text, "save", {{fieldName("wave w", "state"), "running"}});
    response = pressButton(fleet, response.text, "save",
                           {{"name", "h3"},
                            {fieldName("host ", "zone"), "a"},
                            {fieldName("host ", "rack"), "r1"},
                            {fieldName("host ", "pool"), "p"},
                            {fieldName("host ", "cpus"), "4"},
                            {fieldName("host ", "memory_mb"), "1024"},
                            {fieldName("host ", "worker"), "127.0.0.1:7009"},
                            {fieldName("host ", "slots"), ""}});
    {
        SCOPED_TRACE("the review shows old and new values");
        EXPECT_NE(response.text.find("<td>pool p</td><td>max_away</td><td>1</td><td>2</td>"),
                  std::string::npos);
        EXPECT_NE(response.text.find("9 edits, 0 faults"), std::string::npos);
    }
    response = pressButton(fleet, response.text, "publish", {{"author", "eva"}});
    ASSERT_EQ(response.action, DraftAction::Publish);
    EXPECT_EQ(response.author, "eva");
    EXPECT_EQ(response.draft.baseVersion, 1U);
    EXPECT_EQ(*valueOf(*response.targetDocument.find(SectionId("pool p")), "max_away"), "2");
    EXPECT_EQ(*valueOf(*response.targetDocument.find(SectionId("host h3")), "worker"),
              "127.0.0.1:7009");
    EXPECT_EQ(*valueOf(*response.targetDocument.find(SectionId("tenant t")), "token"), "topsecret");
}

// Guards against validation errors shown away from their field, and against publishing an invalid
// draft.
TEST(DraftPage, ShowsEachErrorNextToItsField)
{
    const FleetState fleet = fleetOf(smallDocument);
    const DraftResponse response = pressButton(fleet, openDraft(fleet).text, "save",
                                               {{"section", "pool p"},
                                                {fieldName("pool p", "max_away"), "two"},
                                                {fieldName("pool p", "services"), "s"}});
    const std::size_t input = response.text.find("id=\"field-max_away\"");
    const std::size_t error = response.text.find("id=\"field-max_away-fault\"", input);
    const std::size_t nextField = response.text.find("<label", input);
    ASSERT_NE(input, std::string::npos);
    EXPECT_LT(error, nextField) << "the error follows its own field";
    EXPECT_NE(response.text.find("aria-describedby=\"field-max_away-fault\""), std::string::npos);
    EXPECT_NE(response.text.find("value=\"two\""), std::string::npos)
            << "the invalid input is kept";
    EXPECT_EQ(response.text.find("id=\"field-services-fault\""), std::string::npos);
    EXPECT_EQ(pressButton(fleet, response.text, "publish").action, DraftAction::Show);
}

// Guards against script injection through any field of any form, and through an uploaded document.
TEST(DraftPage, EscapesHostileTextInAllFields)
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
        DraftResponse response = pressButton(fleet, openDraft(fleet).text, "save", all);
        EXPECT_GT(response.draft.edits.size(), 40U) << "the draft contains the hostile text";
        for (int round = 0; round < 2; ++round) {
            expectHarmless(response.text);
            expectHarmless(publishedPage(testing::testPageContext(), fleet, response.draft, hostile,
                                         {.version = 1, .change = hostile, .reason = hostile}));
            // The first round sends no filter, so that the lists show the hostile sections.
            response = pressButton(fleet, response.text, step, round == 0 ? Fields() : all);
        }
        expectHarmless(response.text);
    }
    const DraftResponse filled = pressButton(fleet, openDraft(fleet).text, "save", all);
    // Encoding the draft replaces invalid UTF-8, also in section names.
    const auto received = decodeDraft(encodeDraft(filled.draft));
    ASSERT_TRUE(received);
    for (const DraftEdit &entry : received->edits) {
        const std::string page = pressButton(fleet, filled.text, "edit " + entry.edit.section).text;
        expectHarmless(page);
        EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos)
                << "the page shows the escaped text";
    }
    for (const char *field : {"draft", "do", "grid"}) {
        expectHarmless(handleDraftForm(testing::testPageContext(), fleet,
                                       Form({{field, hostile}, {"do", "save"}, {all.back()}}),
                                       testing::emptyForecast)
                               .text);
    }
}

// Guards against a page that shows a tenant's token, and against an empty field that clears it.
TEST(DraftPage, NeverShowsATenantsToken)
{
    const FleetState fleet = fleetOf(smallDocument);
    const std::string page = openDraft(fleet).text;
    for (const char *step : {"edit tenant t", "list tenant", "grid tenant", "review 0"}) {
        EXPECT_EQ(pressButton(fleet, page, step).text.find("topsecret"), std::string::npos) << step;
    }
    const DraftResponse unchanged =
            pressButton(fleet, page, "save", {{fieldName("tenant t", "token"), ""}});
    EXPECT_TRUE(unchanged.draft.edits.empty());
    const DraftResponse changed =
            pressButton(fleet, page, "save", {{fieldName("tenant t", "token"), "new-one"}});
    EXPECT_NE(changed.text.find("<td>token</td><td>set</td><td>set</td>"), std::string::npos);
    EXPECT_EQ(changed.text.find("topsecret"), std::string::npos);
}

// Guards against a refused change without an explanation, and against the loss of its edits.
TEST(DraftPage, ExplainsAChangeRefusedForAnOutdatedBase)
{
    FleetState fleet = fleetOf(smallDocument);
    SCOPED_TRACE("another operator publishes before the draft");
    const DraftResponse response = pressButton(
            fleet, openDraft(fleet).text, "save",
            {{fieldName("pool p", "max_away"), "2"}, {fieldName("tenant t", "quota"), "99"}});
    ASSERT_TRUE(applyChange(fleet, {{"pool p", "max_away", "0"}}, "mallory", 1).granted);
    const ControlOutcome refused =
            applyChange(fleet, {{"pool p", "max_away", "2"}}, "eva", response.draft.baseVersion);
    ASSERT_FALSE(refused.granted);
    const std::string page = publishedPage(
            testing::testPageContext(), fleet, response.draft, "eva",
            {.result = PublishResult::Refused, .version = 2, .reason = refused.reason});
    {
        SCOPED_TRACE("the page shows the earlier change, the conflicting value and the reason");
        EXPECT_NE(page.find("<td>2</td><td>mallory</td>"), std::string::npos);
        EXPECT_NE(page.find("<td>pool p</td><td>max_away</td><td>1</td><td>0</td><td>2</td>"),
                  std::string::npos);
        EXPECT_EQ(page.find("<td>tenant t</td><td>quota</td>"), std::string::npos);
        EXPECT_NE(page.find(escapeHtml(refused.reason)), std::string::npos);
    }
    SCOPED_TRACE("the rebased draft can be published against the version in force");
    const DraftResponse rebased = pressButton(fleet, page, "rebase");
    EXPECT_EQ(rebased.draft.baseVersion, 2U);
    EXPECT_EQ(pressButton(fleet, rebased.text, "publish").action, DraftAction::Publish);
}

// Guards against draft pages that fail before the first configuration is published, so that the
// first publication would need another tool.
TEST(DraftPage, PublishesTheFirstDocument)
{
    const FleetState empty;
    const DraftResponse uploaded =
            pressButton(empty, openDraft(empty).text, "upload", {{"document", smallDocument}});
    EXPECT_EQ(uploaded.draft.baseVersion, 0U);
    EXPECT_EQ(pressButton(empty, uploaded.text, "publish").action, DraftAction::Publish);
    const DraftResponse file = pressButton(empty, uploaded.text, "download");
    EXPECT_EQ(parseDocument(file.text).document, parseDocument(smallDocument).document);
    EXPECT_NE(pressButton(empty, uploaded.text, "upload", {{"document", "nonsense"}})
                      .text.find("can not be read"),
              std::string::npos);
}

// Guards against pages whose size grows with the fleet.
TEST(DraftPage, PaginatesFourAndAHalfThousandHosts)
{
    std::string text = smallDocument;
    for (int i = 0; i < 4'500; ++i) {
        text += fmt::format("[host n{:04}]\nzone=a\nrack=k{}\npool=q\ncpus=4\nmemory_mb=1024\n"
                            "worker=127.2.{}.{}:7000\n",
                            i, i / 4, i / 250, i % 250 + 1);
    }
    const FleetState fleet = fleetOf(text);
    ASSERT_EQ(fleet.hosts.size(), 4'503U);
    const std::string page = openDraft(fleet).text;
    const std::string last = pressButton(fleet, page, "list host 9999").text;
    EXPECT_LT(last.size(), 60'000U);
    EXPECT_NE(last.find("Page 91 of 91"), std::string::npos);
    EXPECT_NE(last.find("host n4499"), std::string::npos);
    EXPECT_NE(pressButton(fleet, page, "list host", {{"filter", "n0007"}}).text.find("Page 1 of 1"),
              std::string::npos);
}

}  // namespace
}  // namespace poplarstream::console
