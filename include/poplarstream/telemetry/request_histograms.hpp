#pragma once

#include <cstdint>  // for uint64_t
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for AccountId
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream {

enum class WorkClass { Urgent, Slow };

// The outcome of a request from the caller's point of view.
enum class RequestOutcome { OnTime, Late, Refused, Failed, MayHaveRun };

// The number of requests with a latency in one bin, for all outcomes. The last bin of a histogram
// has no upper edge: its `toSeconds` equals `fromSeconds`.
struct LatencyBin
{
    double fromSeconds = 0;
    double toSeconds = 0;
    std::uint64_t count = 0;
};

// Latency and outcome histograms for each tenant and class.
//
// Memory is bounded: each tenant takes about 2.6 KB, and all tenants beyond the first `maxTenants`
// are counted under the name "other". Histograms of several entry hosts can be merged. Not
// thread-safe.
class RequestHistograms
{
public:
    explicit RequestHistograms(std::size_t maxTenants = 1024);
    ~RequestHistograms();
    RequestHistograms(const RequestHistograms &other);
    RequestHistograms &operator=(const RequestHistograms &other);
    RequestHistograms(RequestHistograms &&) noexcept;
    RequestHistograms &operator=(RequestHistograms &&) noexcept;

    void record(const AccountId &tenant, WorkClass workClass, RequestOutcome outcome,
                Milliseconds latency);

    // Adds the counts of another entry host.
    void merge(const RequestHistograms &other);

    std::uint64_t count(const AccountId &tenant, WorkClass workClass, RequestOutcome outcome) const;
    std::size_t tenantCount() const;

    // All bins in ascending order; empty if the tenant has no requests of the class.
    std::vector<LatencyBin> latencies(const AccountId &tenant, WorkClass workClass) const;

    // Prometheus text exposition (format 0.0.4): one histogram
    // `poplarstream_request_duration_seconds` and one counter `poplarstream_requests_total`,
    // labelled by tenant, class and, for the counter, outcome. Empty series are omitted.
    std::string prometheusText() const;

private:
    struct Content;
    std::unique_ptr<Content> content_;
};

// Escapes `text` for use as a Prometheus label value.
std::string prometheusLabel(std::string_view text);

}  // namespace poplarstream
