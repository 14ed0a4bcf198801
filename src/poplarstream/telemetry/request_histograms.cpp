#include "poplarstream/telemetry/request_histograms.hpp"

#include <algorithm>  // for max
#include <array>  // for array
#include <map>  // for map

#include <boost/histogram.hpp>  // for histogram, axis
#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

namespace bh = boost::histogram;

constexpr int classCount = 2;
constexpr int outcomeCount = 5;
// Bins from 0.5 ms to 500 s, five per decade. Shorter and longer latencies are counted in the
// underflow and overflow bins.
constexpr int latencyBins = 30;
constexpr double firstLatencySeconds = 0.0005;
constexpr double lastLatencySeconds = 500;
constexpr std::array classNames = {"urgent", "slow"};
constexpr std::array outcomeNames = {"on-time", "late", "refused", "failed", "may-have-run"};

using CategoryAxis = bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using TenantHistogram = bh::histogram<std::tuple<CategoryAxis, CategoryAxis, LatencyAxis>,
                                      bh::dense_storage<std::uint64_t>>;

TenantHistogram makeTenantHistogram()
{
    return TenantHistogram(
            std::make_tuple(CategoryAxis(0, classCount), CategoryAxis(0, outcomeCount),
                            LatencyAxis(latencyBins, firstLatencySeconds, lastLatencySeconds)));
}

// The counts of one class and outcome by latency bin, from the underflow to the overflow bin.
std::array<std::uint64_t, latencyBins + 2> latencyCounts(const TenantHistogram &histogram,
                                                         int workClass, int outcome)
{
    std::array<std::uint64_t, latencyBins + 2> counts{};
    int bin = -1;
    for (std::uint64_t &count : counts) {
        count = histogram.at(workClass, outcome, bin++);
    }
    return counts;
}

void appendDurations(std::string &text, const std::string &labels, const TenantHistogram &histogram,
                     int workClass)
{
    std::uint64_t total = 0;
    double sum = 0;
    std::string buckets;
    const auto &axis = histogram.axis(2);
    for (int bin = -1; bin <= latencyBins; ++bin) {
        std::uint64_t inBin = 0;
        for (int outcome = 0; outcome < outcomeCount; ++outcome) {
            inBin += histogram.at(workClass, outcome, bin);
        }
        total += inBin;
        const double lower = std::max(0.0, axis.value(std::max(bin, 0)));
        const double upper = bin < latencyBins ? axis.value(bin + 1) : lower;
        sum += static_cast<double>(inBin) * (lower + upper) / 2;
        if (bin < latencyBins && (bin + 1) % 5 == 0) {
            buckets += fmt::format(
                    "poplarstream_request_duration_seconds_bucket{{{},le=\"{:.4g}\"}} {}\n", labels,
                    upper, total);
        }
    }
    if (total == 0) {
        return;
    }
    text += buckets;
    text += fmt::format("poplarstream_request_duration_seconds_bucket{{{},le=\"+Inf\"}} {}\n",
                        labels, total);
    // The sum is estimated from the centres of the bins, since exact latencies are not stored.
    text += fmt::format("poplarstream_request_duration_seconds_sum{{{}}} {:.6g}\n", labels, sum);
    text += fmt::format("poplarstream_request_duration_seconds_count{{{}}} {}\n", labels, total);
}

void appendOutcomes(std::string &text, const std::string &labels, const TenantHistogram &histogram,
                    int workClass)
{
    for (int outcome = 0; outcome < outcomeCount; ++outcome) {
        std::uint64_t total = 0;
        for (const std::uint64_t count : latencyCounts(histogram, workClass, outcome)) {
            total += count;
        }
        if (total > 0) {
            text += fmt::format("poplarstream_requests_total{{{},outcome=\"{}\"}} {}\n", labels,
                                outcomeNames[static_cast<std::size_t>(outcome)], total);
        }
    }
}

}  // namespace

struct RequestHistograms::Content
{
    std::size_t maxTenants = 0;
    std::map<AccountId, TenantHistogram> byTenant;

    TenantHistogram &histogramOf(const AccountId &tenant)
    {
        const auto found = byTenant.find(tenant);
        if (found != byTenant.end()) {
            return found->second;
        }
        const AccountId name = byTenant.size() < maxTenants ? tenant : AccountId("other");
        return byTenant.try_emplace(name, makeTenantHistogram()).first->second;
    }
};

RequestHistograms::RequestHistograms(std::size_t maxTenants)
    : content_(std::make_unique<Content>())
{
    content_->maxTenants = maxTenants;
}

RequestHistograms::~RequestHistograms() = default;
RequestHistograms::RequestHistograms(RequestHistograms &&) noexcept = default;
RequestHistograms &RequestHistograms::operator=(RequestHistograms &&) noexcept = default;

RequestHistograms::RequestHistograms(const RequestHistograms &other)
    : content_(std::make_unique<Content>(*other.content_))
{}

RequestHistograms &RequestHistograms::operator=(const RequestHistograms &other)
{
    if (this != &other) {
        *content_ = *other.content_;
    }
    return *this;
}

void RequestHistograms::record(const AccountId &tenant, WorkClass workClass, RequestOutcome outcome,
                               Milliseconds latency)
{
    content_->histogramOf(tenant)(static_cast<int>(workClass), static_cast<int>(outcome),
                                  static_cast<double>(latency.count()) / 1000);
}

void RequestHistograms::merge(const RequestHistograms &other)
{
    for (const auto &[tenant, histogram] : other.content_->byTenant) {
        content_->histogramOf(tenant) += histogram;
    }
}

std::uint64_t RequestHistograms::count(const AccountId &tenant, WorkClass workClass,
                                       RequestOutcome outcome) const
{
    const auto found = content_->byTenant.find(tenant);
    if (found == content_->byTenant.end()) {
        return 0;
    }
    std::uint64_t total = 0;
    for (const std::uint64_t count :
         latencyCounts(found->second, static_cast<int>(workClass), static_cast<int>(outcome))) {
        total += count;
    }
    return total;
}

std::size_t RequestHistograms::tenantCount() const
{
    return content_->byTenant.size();
}

std::vector<LatencyBin> RequestHistograms::latencies(const AccountId &tenant,
                                                     WorkClass workClass) const
{
    const auto found = content_->byTenant.find(tenant);
    if (found == content_->byTenant.end()) {
        return {};
    }
    const auto &axis = found->second.axis(2);
    std::vector<LatencyBin> bins;
    std::uint64_t total = 0;
    for (int bin = -1; bin <= latencyBins; ++bin) {
        LatencyBin entry;
        entry.fromSeconds = bin < 0 ? 0 : axis.value(bin);
        entry.toSeconds = bin < latencyBins ? axis.value(bin + 1) : entry.fromSeconds;
        for (int outcome = 0; outcome < outcomeCount; ++outcome) {
            entry.count += found->second.at(static_cast<int>(workClass), outcome, bin);
        }
        total += entry.count;
        bins.push_back(entry);
    }
    return total > 0 ? bins : std::vector<LatencyBin>();
}

std::string RequestHistograms::prometheusText() const
{
    std::string durations;
    std::string outcomes;
    for (const auto &[tenant, histogram] : content_->byTenant) {
        for (int workClass = 0; workClass < classCount; ++workClass) {
            const std::string labels =
                    fmt::format("tenant=\"{}\",class=\"{}\"", prometheusLabel(tenant.text()),
                                classNames[static_cast<std::size_t>(workClass)]);
            appendDurations(durations, labels, histogram, workClass);
            appendOutcomes(outcomes, labels, histogram, workClass);
        }
    }
    return "# HELP poplarstream_request_duration_seconds Time from arrival to answer.\n"
           "# TYPE poplarstream_request_duration_seconds histogram\n"
           + durations
           + "# HELP poplarstream_requests_total Requests by outcome.\n"
             "# TYPE poplarstream_requests_total counter\n"
           + outcomes;
}

std::string prometheusLabel(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        if (c == '\n') {
            escaped += "\\n";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

}  // namespace poplarstream
