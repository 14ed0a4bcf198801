#include "poplarstream/traffic/fair_queue.hpp"

#include <algorithm>  // for min
#include <numeric>  // for accumulate

#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE
#include <rapidcheck.h>  // for rc::check

namespace poplarstream::traffic {
namespace {

// Exact water-filling: each share is min(demand, level * weight), with the level that uses up the
// capacity. Computed by saturating one child at a time, starting with the lowest level needed.
std::vector<double> waterFill(const std::vector<double> &demands,
                              const std::vector<double> &weights, double capacity)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<bool> isDone(demands.size(), false);
    for (;;) {
        double weight = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            weight += isDone[i] ? 0 : weights[i];
        }
        bool hasSaturated = false;
        for (std::size_t i = 0; i < demands.size() && weight > 0; ++i) {
            if (!isDone[i] && demands[i] <= capacity / weight * weights[i]) {
                shares[i] = demands[i];
                capacity -= demands[i];
                isDone[i] = true;
                hasSaturated = true;
                break;
            }
        }
        if (!hasSaturated) {
            for (std::size_t i = 0; i < demands.size(); ++i) {
                shares[i] = isDone[i] ? shares[i] : capacity / weight * weights[i];
            }
            return shares;
        }
    }
}

struct Sharing
{
    std::array<double, urgencyLevels> urgency{};
    std::vector<double> tenants;
    std::vector<std::vector<double>> demands;  // by level and tenant, requests per round
    double capacity = 0;  // requests per round
};

constexpr std::size_t tenantCount = 5;

Sharing anySharing()
{
    Sharing sharing;
    for (double &weight : sharing.urgency) {
        weight = *rc::gen::inRange(1, 9);
    }
    sharing.tenants = *rc::gen::container<std::vector<double>>(
            tenantCount, rc::gen::cast<double>(rc::gen::inRange(1, 9)));
    for (std::size_t level = 0; level < urgencyLevels; ++level) {
        sharing.demands.push_back(*rc::gen::container<std::vector<double>>(
                tenantCount, rc::gen::cast<double>(rc::gen::inRange(0, 20))));
    }
    sharing.capacity = *rc::gen::inRange(1, 120);
    return sharing;
}

// Returns the served requests by level and tenant after `rounds`. In each round the demands arrive,
// then `capacity` requests of cost 1 are dequeued.
std::vector<std::vector<double>> serve(const Sharing &sharing, int rounds)
{
    FairQueue queue;
    const FairWeights weights{sharing.urgency, sharing.tenants};
    std::vector<std::vector<double>> served(urgencyLevels, std::vector<double>(tenantCount, 0));
    std::uint64_t number = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::uint8_t level = 0; level < urgencyLevels; ++level) {
            for (std::uint32_t tenant = 0; tenant < tenantCount; ++tenant) {
                for (int i = 0; i < static_cast<int>(sharing.demands[level][tenant]); ++i) {
                    pushRequest(queue, {level, tenant}, RequestNumber{++number}, false, weights,
                                timePoint(round));
                }
            }
        }
        for (int i = 0; i < static_cast<int>(sharing.capacity); ++i) {
            if (const auto popped = popRequest(queue, 1, weights, timePoint(round))) {
                ++served[popped->key.urgency][popped->key.tenant];
            }
        }
    }
    return served;
}

// Guards against unfair shares from a wrong virtual time, a weight applied twice or credit for idle
// time. Compares with exact water-filling on both levels.
TEST(FairQueue, WaterFilling)
{
    EXPECT_TRUE(rc::check("service follows water-filling", [] {
        const Sharing sharing = anySharing();
        constexpr int rounds = 400;
        const auto served = serve(sharing, rounds);
        std::vector<double> levelDemands;
        for (const auto &demands : sharing.demands) {
            levelDemands.push_back(std::accumulate(demands.begin(), demands.end(), 0.0));
        }
        const std::vector<double> levels = waterFill(
                levelDemands, {sharing.urgency.begin(), sharing.urgency.end()}, sharing.capacity);
        for (std::size_t level = 0; level < urgencyLevels; ++level) {
            const auto exact = waterFill(sharing.demands[level], sharing.tenants, levels[level]);
            for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
                // The error is at most the requests of one round and one request per sibling.
                const double bound =
                        sharing.demands[level][tenant] + tenantCount + urgencyLevels + 8;
                RC_ASSERT(std::abs(served[level][tenant] - rounds * exact[tenant]) <= bound);
            }
        }
    }));
}

// Guards against a lost share after idle time: while another tenant is overloaded, a returning
// tenant gets its share from the first round on, without credit or penalty for its idle time.
TEST(FairQueue, RestoresShareAfterIdleTime)
{
    FairQueue queue;
    const std::array<double, urgencyLevels> urgency{1, 1, 1, 1};
    const std::vector<double> tenants{1, 1};
    const FairWeights weights{urgency, tenants};
    SCOPED_TRACE("given one tenant that has used all capacity for a long time");
    std::uint64_t number = 0;
    for (int i = 0; i < 2000; ++i) {
        pushRequest(queue, {0, 0}, RequestNumber{++number}, false, weights, timePoint(0));
    }
    for (int i = 0; i < 1000; ++i) {
        popRequest(queue, 1, weights, timePoint(i));
    }
    {
        SCOPED_TRACE("when another tenant has requests, then both are served alternately");
        for (int i = 0; i < 10; ++i) {
            pushRequest(queue, {0, 1}, RequestNumber{++number}, false, weights, timePoint(1000));
        }
        std::array<int, 2> popped{};
        for (int i = 0; i < 10; ++i) {
            ++popped[popRequest(queue, 1, weights, timePoint(1000))->key.tenant];
        }
        EXPECT_EQ(popped[0], 5);
        EXPECT_EQ(popped[1], 5);
    }
}

// Guards against a tenant that gains share by requests that take longer than expected.
TEST(FairQueue, ChargesMeasuredCost)
{
    FairQueue queue;
    const std::array<double, urgencyLevels> urgency{1, 1, 1, 1};
    const std::vector<double> tenants{1, 1};
    const FairWeights weights{urgency, tenants};
    SCOPED_TRACE("given a tenant whose requests take eight times the charged cost");
    for (std::uint64_t i = 1; i <= 2000; ++i) {
        pushRequest(queue, {0, i % 2 == 0 ? 0U : 1U}, RequestNumber{i}, false, weights,
                    timePoint(0));
    }
    std::array<double, 2> used{};
    for (int i = 0; i < 900; ++i) {
        const FlowKey key = popRequest(queue, 1, weights, timePoint(i))->key;
        const double cost = key.tenant == 0 ? 8 : 1;
        used[key.tenant] += cost;
        adjustCost(queue, key, cost - 1);
    }
    SCOPED_TRACE("then both get the same service time");
    EXPECT_NEAR(used[0] / used[1], 1, 0.05);
}

}  // namespace
}  // namespace poplarstream::traffic
