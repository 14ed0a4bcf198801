#include "poplarstream/telemetry/request_histograms.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream {
namespace {

// Guards against memory that grows with each new tenant name a caller sends, and against counts
// that are lost when histograms of several entry hosts are merged.
TEST(RequestHistograms, BoundedAndMergeable)
{
    SCOPED_TRACE("given histograms for at most two tenants");
    RequestHistograms first(2);
    for (const char *tenant : {"a", "b", "c", "d"}) {
        first.record(AccountId(tenant), WorkClass::Urgent, RequestOutcome::OnTime, Milliseconds{5});
    }
    {
        SCOPED_TRACE("then further tenants share one name");
        EXPECT_EQ(first.tenantCount(), 3U);
        EXPECT_EQ(first.count(AccountId("other"), WorkClass::Urgent, RequestOutcome::OnTime), 2U);
    }
    {
        SCOPED_TRACE(
                "when the histograms of another entry host are merged, then the counts add up");
        RequestHistograms second(2);
        second.record(AccountId("a"), WorkClass::Urgent, RequestOutcome::OnTime, Milliseconds{900});
        second.record(AccountId("a"), WorkClass::Slow, RequestOutcome::Failed,
                      Milliseconds{900000});
        first.merge(second);
        EXPECT_EQ(first.count(AccountId("a"), WorkClass::Urgent, RequestOutcome::OnTime), 2U);
        EXPECT_EQ(first.count(AccountId("a"), WorkClass::Slow, RequestOutcome::Failed), 1U);
    }
}

// Guards against text that a Prometheus server rejects.
TEST(RequestHistograms, PrometheusText)
{
    RequestHistograms histograms;
    histograms.record(AccountId("a\"b\n"), WorkClass::Urgent, RequestOutcome::Late,
                      Milliseconds{40});
    const std::string text = histograms.prometheusText();
    EXPECT_NE(text.find("requests_total{tenant=\"a\\\"b\\n\",class=\"urgent\",outcome=\"late\"} 1"),
              std::string::npos)
            << text;
    EXPECT_NE(text.find("le=\"+Inf\"} 1"), std::string::npos) << text;
}

}  // namespace
}  // namespace poplarstream
