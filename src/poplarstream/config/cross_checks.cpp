#include "poplarstream/config/cross_checks.hpp"

#include <algorithm>  // for find, sort
#include <initializer_list>  // for initializer_list
#include <string_view>  // for string_view
#include <unordered_map>  // for unordered_map

#include <fmt/format.h>  // for format

#include "poplarstream/config/suggest.hpp"  // for nearestWord

namespace poplarstream {
namespace {

void addError(ConfigErrors &errors, std::string_view kind, std::string_view name, std::string key,
              std::string expected, std::string found = {})
{
    errors.push_back({fmt::format("{} {}", kind, name), std::move(key), std::move(expected),
                      std::move(found)});
}

// The expected value for a reference to a row that does not exist; suggests the nearest name.
template <class Row>
std::string expectedName(std::string_view kind, const SharedTable<Row> &table,
                         const std::string &found)
{
    std::vector<std::string_view> names;
    for (const Row &row : table) {
        names.push_back(row.id.text());
    }
    if (names.empty()) {
        return fmt::format("the name of a [{}]; there is none", kind);
    }
    return fmt::format("the name of a [{}]; the nearest is '{}'", kind, nearestWord(found, names));
}

void checkPools(const Configuration &configuration, ConfigErrors &errors)
{
    std::string spare;
    for (const PoolConfig &pool : configuration.pools) {
        for (const ServiceId &service : pool.services) {
            if (!configuration.services.contains(service)) {
                addError(errors, "pool", pool.id.text(), "services",
                         expectedName("service", configuration.services, service.text()),
                         service.text());
            }
        }
        if (pool.spare && !spare.empty()) {
            addError(errors, "pool", pool.id.text(), "spare",
                     fmt::format("no, since pool '{}' is the spare pool", spare), "yes");
        } else if (pool.spare) {
            spare = pool.id.text();
        }
    }
}

void checkBudgets(const Configuration &configuration, ConfigErrors &errors)
{
    std::unordered_map<std::string_view, std::uint32_t> sizes;
    for (const HostConfig &host : configuration.hosts) {
        ++sizes[host.pool.text()];
    }
    for (const PoolConfig &pool : configuration.pools) {
        const std::uint32_t size = sizes[pool.id.text()];
        if (pool.maxAway > size) {
            addError(errors, "pool", pool.id.text(), "max_away",
                     fmt::format("at most {}, the number of hosts in the pool", size),
                     std::to_string(pool.maxAway));
        }
    }
}

void checkHostReferences(const Configuration &configuration, ConfigErrors &errors)
{
    std::unordered_map<std::string_view, const HostConfig *> firstOfRack;
    for (const HostConfig &host : configuration.hosts) {
        if (!configuration.zones.contains(host.zone)) {
            addError(errors, "host", host.id.text(), "zone",
                     expectedName("zone", configuration.zones, host.zone.text()), host.zone.text());
        }
        if (!configuration.pools.contains(host.pool)) {
            addError(errors, "host", host.id.text(), "pool",
                     expectedName("pool", configuration.pools, host.pool.text()), host.pool.text());
        }
        const RackConfig *rack = configuration.racks.find(host.rack);
        const HostConfig *first = firstOfRack.emplace(host.rack.text(), &host).first->second;
        const ZoneId &zone = rack ? rack->zone : first->zone;
        if (host.zone != zone) {
            addError(errors, "host", host.id.text(), "rack",
                     fmt::format("a rack of zone '{}'; rack '{}' is in zone '{}'", host.zone.text(),
                                 host.rack.text(), zone.text()),
                     host.rack.text());
        }
    }
}

// Sorts all addresses to find duplicates; this is faster than a hash table at 4,500 hosts.
void checkAddresses(const Configuration &configuration, ConfigErrors &errors)
{
    struct AddressUse
    {
        Address address;
        const HostConfig *host;
        bool isWorker;
    };
    std::vector<AddressUse> uses;
    uses.reserve(3 * configuration.hosts.size());
    for (const HostConfig &host : configuration.hosts) {
        // Address 0 marks an invalid address, which is already reported.
        if (host.worker != Address{}) {
            uses.push_back({host.worker, &host, true});
        }
        for (const Address &minion : host.minions) {
            uses.push_back({minion, &host, false});
        }
    }
    std::stable_sort(uses.begin(), uses.end(), [](const AddressUse &a, const AddressUse &b) {
        return a.address < b.address;
    });
    for (std::size_t i = 1; i < uses.size(); ++i) {
        if (uses[i].address == uses[i - 1].address) {
            addError(errors, "host", uses[i].host->id.text(),
                     uses[i].isWorker ? "worker" : "minions",
                     fmt::format("an address of its own; host '{}' has the same",
                                 uses[i - 1].host->id.text()),
                     addressText(uses[i].address));
        }
    }
}

void checkRacks(const Configuration &configuration, ConfigErrors &errors)
{
    for (const RackConfig &rack : configuration.racks) {
        if (!configuration.zones.contains(rack.zone)) {
            addError(errors, "rack", rack.id.text(), "zone",
                     expectedName("zone", configuration.zones, rack.zone.text()), rack.zone.text());
        }
    }
}

void checkTenants(const Configuration &configuration, ConfigErrors &errors)
{
    std::unordered_map<std::string_view, std::string_view> owners;
    for (const TenantConfig &tenant : configuration.tenants) {
        const auto [owner, isNew] = owners.emplace(tenant.token, tenant.id.text());
        if (!isNew && !tenant.token.empty()) {
            addError(errors, "tenant", tenant.id.text(), "token",
                     fmt::format("a token of its own; tenant '{}' has the same", owner->second));
        }
    }
}

void checkWaves(const Configuration &configuration, ConfigErrors &errors)
{
    for (const WaveConfig &wave : configuration.waves) {
        for (const PoolId &pool : wave.pools) {
            if (!configuration.pools.contains(pool)) {
                addError(errors, "wave", wave.id.text(), "pools",
                         expectedName("pool", configuration.pools, pool.text()), pool.text());
            }
        }
        if (wave.action == AbsenceKind::Reboot) {
            continue;
        }
        if (!configuration.pools.contains(wave.target)) {
            addError(errors, "wave", wave.id.text(), "target",
                     expectedName("pool", configuration.pools, wave.target.text()),
                     wave.target.text());
        } else if (std::find(wave.pools.begin(), wave.pools.end(), wave.target)
                   != wave.pools.end()) {
            addError(errors, "wave", wave.id.text(), "target",
                     "a pool that the wave does not empty", wave.target.text());
        }
    }
}

using Check = void (*)(const Configuration &, ConfigErrors &);

struct CheckRow
{
    Check check;
    std::initializer_list<SectionKind> kinds;
};

SectionKindSet kindSet(std::initializer_list<SectionKind> kinds)
{
    SectionKindSet set;
    for (const SectionKind kind : kinds) {
        set.set(static_cast<std::size_t>(kind));
    }
    return set;
}

}  // namespace

void checkReferences(const Configuration &configuration, SectionKindSet touched,
                     ConfigErrors &errors)
{
    using enum SectionKind;
    checkBudgets(configuration, errors);
    for (const auto &[check, kinds] :
         {CheckRow{checkRacks, {Rack, Zone}}, CheckRow{checkPools, {Pool, Service}},
          CheckRow{checkTenants, {Tenant}}, CheckRow{checkHostReferences, {Host, Zone, Pool, Rack}},
          CheckRow{checkAddresses, {Host}}, CheckRow{checkWaves, {Wave, Pool}}}) {
        if ((kindSet(kinds) & touched).any()) {
            check(configuration, errors);
        }
    }
}

}  // namespace poplarstream
