#include "poplarstream/records/codec.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

namespace poplarstream {
namespace {

RunRecord exampleRunRecord()
{
    RunAccepted accepted{RunId("a-1"), AccountId("t"), ServiceId("invoices"), "key", 7,
                         "payload",    {2.5, 512, 1},  Milliseconds{900},     false, timePoint(12)};
    return {{RecordId("r1"), EntryHostId("e1")},
            {accepted, RunClaimed{RunId("a-1"), EntryHostId("e1"), HostId("h1"), {2.5, 512, 1}},
             RunFinished{RunId("a-1"), {4, 1}, RunOutcome::Failed, "result"},
             RunsCancelled{{RunId("a-2"), RunId("a-3")}}, RunReceived{accepted, ZoneId("b"), 5},
             OwnerLease{EntryHostId("e1"), Milliseconds{10}}}};
}

// Guards against a field that is encoded but not decoded: the state of the writer would then differ
// from the state that other hosts replay.
TEST(Codec, RoundTrip)
{
    SCOPED_TRACE("given records with every type of field");
    const RunRecord run = exampleRunRecord();
    const ControlRecord control{
            {RecordId("r2"), EntryHostId("e2")},
            ConfigChange{3, "ann", {{"pool p", "max_away", "2"}, {"host h", std::nullopt, {}}}}};
    {
        SCOPED_TRACE("when they are encoded and decoded, then they are unchanged");
        EXPECT_EQ(decodeRunRecord(encode(run)).value(), run);
        EXPECT_EQ(decodeControlRecord(encode(control)).value(), control);
    }
}

// Guards against a crash of all entry hosts at the same offset: malformed records must be reported
// as a failure.
TEST(Codec, ArbitraryBytes)
{
    SCOPED_TRACE("given a valid record with one byte changed");
    const std::string valid = encode(exampleRunRecord());
    EXPECT_TRUE(rc::check("decoding never throws", [&](std::uint8_t byte) {
        std::string text = valid;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(byte);
        (void)decodeRunRecord(text);
        (void)decodeControlRecord(text);
    }));
    EXPECT_FALSE(decodeRunRecord("{}"));
    EXPECT_FALSE(decodeControlRecord(R"({"id":"a","writer":"b","body":{"type":"other"}})"));
}

}  // namespace
}  // namespace poplarstream
