#include "poplarstream/accounts/admission.hpp"

#include <algorithm>  // for clamp, sort
#include <exception>  // for exception
#include <iterator>  // for prev
#include <vector>  // for vector

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson
#include "poplarstream/base/json_value.hpp"  // for integerFrom
#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::accounts {

namespace {

using nlohmann::json;

constexpr std::size_t maxHolds = 32;  // a renewal stays within a few kB
constexpr std::size_t maxServicesOfHold = 8;  // for the same reason; others are not held
constexpr int permille = 1000;
constexpr int minAdmittedPermille = 20;
// An account that sends this part of what it is owed, or less, is within its share. Few jobs are
// counted in a window, so a part near 1 would release accounts by chance.
constexpr double withinShare = 0.7;
// What is admitted changes by this factor at most, since a window still counts jobs that were
// admitted by an earlier decision.
constexpr double maxChange = 2.0;
constexpr Milliseconds minDrain{1000};
constexpr Milliseconds maxDrain{10'000};

bool isBeyondShare(const AccountLoad &load)
{
    return load.acceptedPerS > load.owedPerS && load.wait > load.objective;
}

Milliseconds drainOf(const AccountLoad &load)
{
    return std::clamp(load.wait - load.objective, minDrain, maxDrain);
}

std::set<ServiceId> heldServices(const Hold &before, const AccountLoad &load)
{
    // A hold lasts until work has less than half of its objective to wait.
    std::set<ServiceId> services = load.lateServices.empty() ? before.services : load.lateServices;
    while (services.size() > maxServicesOfHold) {
        services.erase(std::prev(services.end()));
    }
    return services;
}

// Empty if the account is held no longer.
std::optional<Hold> nextHold(const Hold &before, const AccountLoad &load)
{
    if (load.wait < load.objective / 2 || load.acceptedPerS <= load.owedPerS * withinShare) {
        return {};
    }
    const double change = std::clamp(load.owedPerS / load.acceptedPerS, 1 / maxChange, maxChange);
    const int admitted = static_cast<int>(before.admittedPermille * change);
    if (admitted >= permille) {
        return {};
    }
    return Hold{std::max(admitted, minAdmittedPermille), drainOf(load), heldServices(before, load)};
}

std::set<ServiceId> servicesFrom(const json &names)
{
    std::set<ServiceId> services;
    for (const json &name : names) {
        services.emplace(name.get<std::string>());
    }
    return services;
}

void keepLongest(Holds &holds)
{
    std::vector<std::pair<Milliseconds, AccountId>> order;
    for (const auto &[id, hold] : holds) {
        order.emplace_back(hold.drain, id);
    }
    std::sort(order.begin(), order.end());
    while (order.size() > maxHolds) {
        holds.erase(order[order.size() - maxHolds - 1].second);
        order.erase(order.begin() + static_cast<std::ptrdiff_t>(order.size() - maxHolds - 1));
    }
}

}  // namespace

void updateAdmission(Admission &admission, const std::map<AccountId, AccountLoad> &loads)
{
    Admission next;
    for (const auto &[id, load] : loads) {
        const auto held = admission.holds.find(id);
        if (held == admission.holds.end() && !isBeyondShare(load)) {
            continue;
        }
        if (held == admission.holds.end() && !admission.suspects.contains(id)) {
            next.suspects.insert(id);
            continue;
        }
        const Hold before = held == admission.holds.end() ? Hold{} : held->second;
        if (const std::optional<Hold> hold = nextHold(before, load)) {
            next.holds[id] = *hold;
        }
    }
    keepLongest(next.holds);
    admission = std::move(next);
}

std::optional<Milliseconds> rejectionOf(const Hold &hold, const ServiceId &service,
                                        std::string_view jobId)
{
    if (!hold.services.empty() && !hold.services.contains(service)) {
        return {};
    }
    const std::uint64_t hash = stableHash(jobId);
    if (static_cast<int>(hash % permille) < hold.admittedPermille) {
        return {};
    }
    const auto spread = static_cast<std::uint64_t>(hold.drain.count()) + 1;
    return minDrain + Milliseconds(static_cast<std::int64_t>(hash / permille % spread));
}

std::string encodeHolds(const Holds &holds)
{
    if (holds.empty()) {
        return {};
    }
    json rows = json::array();
    for (const auto &[id, hold] : holds) {
        rows.push_back({id.text(), hold.admittedPermille, hold.drain.count()});
        if (!hold.services.empty()) {
            rows.back().push_back(json::array());
        }
        for (const ServiceId &service : hold.services) {
            rows.back().back().push_back(service.text());
        }
    }
    return rows.dump();
}

Holds decodeHolds(std::string_view text)
{
    Holds holds;
    const json rows = parseBoundedJson(text).value_or(json());
    if (!rows.is_array()) {
        return holds;
    }
    for (const json &row : rows) {
        try {
            Hold hold;
            hold.admittedPermille = integerFrom<int>(row.at(1), 0, permille);
            hold.drain = Milliseconds(integerFrom<std::int64_t>(row.at(2), 0, maxDrain.count()));
            if (row.size() > 3) {
                hold.services = servicesFrom(row.at(3));
            }
            holds[AccountId(row.at(0).get<std::string>())] = hold;
        } catch (const std::exception &) {
            continue;  // a hold that cannot be read rejects nothing
        }
    }
    return holds;
}

}  // namespace poplarstream::accounts
