#include "poplarstream/edge/load_meter.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_NE

namespace poplarstream::edge {
namespace {

// Guards against figures that mix up the kinds of work or count them twice.
TEST(LoadMeter, SummaryTellsWhatWasAdded)
{
    LoadMeter meter;
    for (int i = 0; i < 3; ++i) {
        const LoadMeter::Section section(meter, OwnerWork::Polls);
    }
    {
        const LoadMeter::Section section(meter, OwnerWork::Lookups);
    }
    EXPECT_NE(meter.prometheusText().find("poplar_owner_work_total{work=\"polls\"} 3\n"),
              std::string::npos);
    const std::string summary = meter.takeSummary();
    EXPECT_NE(summary.find("/3 send="), std::string::npos) << summary;
    EXPECT_TRUE(summary.ends_with("/1")) << summary;
    EXPECT_TRUE(meter.takeSummary().ends_with("/0"));
    EXPECT_NE(meter.prometheusText().find("poplar_owner_work_total{work=\"lookups\"} 1\n"),
              std::string::npos);
}

// Guards against calls that are counted as another kind, by which an overload is traced.
TEST(LoadMeter, CallsAreCountedByWhatTheyLedTo)
{
    LoadMeter meter;
    meter.count(WorkerCallEnd::Ends);
    meter.count(WorkerCallEnd::Progress);
    meter.count(WorkerCallEnd::Progress);
    meter.count(WorkerCallEnd::Stop);
    EXPECT_EQ(meter.takeCalls(), "ends=1 idle=0 progress=2 prompt=0 unanswered=0 starts=0 stops=1");
    meter.count(WorkerCallEnd::Unanswered);
    EXPECT_EQ(meter.takeCalls(), "ends=0 idle=0 progress=0 prompt=0 unanswered=1 starts=0 stops=0");
    EXPECT_NE(meter.prometheusText().find("poplar_owner_calls_total{end=\"progress\"} 2\n"),
              std::string::npos);
}

}  // namespace
}  // namespace poplarstream::edge
