#include "poplarstream/telemetry/duration_histograms.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against a histogram that loses durations outside its bins, and against mixing up labels.
TEST(DurationHistograms, CountsAllDurationsByName)
{
    DurationHistograms histograms;
    EXPECT_TRUE(histograms.prometheusText().empty());
    histograms.record("submission", "accepted", Milliseconds{0});
    histograms.record("submission", "accepted", Milliseconds{8});
    histograms.record("submission", "accepted", Milliseconds{500'000});
    histograms.record("submission", "refused", Milliseconds{3});
    const std::string text = histograms.prometheusText();
    const std::string accepted = "what=\"submission\",outcome=\"accepted\"";
    for (const char *line :
         {"_bucket{LABELS,le=\"0.01\"} 2\n", "_bucket{LABELS,le=\"100\"} 2\n",
          "_bucket{LABELS,le=\"+Inf\"} 3\n", "_sum{LABELS} 500.008\n", "_count{LABELS} 3\n"}) {
        std::string expected = std::string("poplar_duration_seconds") + line;
        expected.replace(expected.find("LABELS"), 6, accepted);
        EXPECT_NE(text.find(expected), std::string::npos) << expected << text;
    }
    EXPECT_NE(text.find("_count{what=\"submission\",outcome=\"refused\"} 1\n"), std::string::npos);
}

}  // namespace
}  // namespace poplarstream
