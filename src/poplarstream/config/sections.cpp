#include "poplarstream/config/sections.hpp"

#include <array>  // for array

#include <fmt/format.h>  // for format

#include "poplarstream/config/schema.hpp"  // for sectionKind
#include "poplarstream/config/section_reader.hpp"  // for SectionReader
#include "poplarstream/config/suggest.hpp"  // for nearestWord

namespace poplarstream {
namespace {

// Upper bounds far above any deployment; they catch wrong units and extra digits.
constexpr double maxWeight = 1000;
constexpr double maxQuotaPerSecond = 1'000'000;
constexpr double maxCpus = 4096;
constexpr std::uint64_t maxMemoryMegabytes = 64 * 1024 * 1024;
constexpr std::uint64_t maxAccelerators = 1024;
constexpr std::uint64_t maxAwayHosts = 100'000;
constexpr std::uint64_t maxPerMinion = 65'535;
constexpr std::uint64_t millisecondsPerDay = 24 * 3600 * 1000;
constexpr std::uint64_t secondsPerDay = 24 * 3600;

constexpr std::pair<std::string_view, ServiceClass> classes[] = {{"urgent", ServiceClass::Urgent},
                                                                 {"slow", ServiceClass::Slow}};
constexpr std::pair<std::string_view, AbsenceKind> actions[] = {
        {"reboot", AbsenceKind::Reboot},
        {"move", AbsenceKind::Move},
        {"reboot-move", AbsenceKind::RebootAndMove}};
constexpr std::pair<std::string_view, WaveState> waveStates[] = {
        {"running", WaveState::Running},
        {"stopped", WaveState::Stopped},
        {"withdrawn", WaveState::Withdrawn}};

std::string nameOf(const ConfigSection &section)
{
    return std::string(section.id.name());
}

FleetConfig readFleet(SectionReader &reader)
{
    FleetConfig fleet;
    fleet.name = reader.text("name");
    fleet.weightRollout = reader.number("weight_rollout", 0, maxWeight, 1);
    fleet.weightMoves = reader.number("weight_moves", 0, maxWeight, 1);
    fleet.weightFlood = reader.number("weight_flood", 0, maxWeight, 1);
    fleet.rackHeadroom = reader.boolean("rack_headroom", false);
    return fleet;
}

PoolConfig readPool(const ConfigSection &section, SectionReader &reader)
{
    PoolConfig pool;
    pool.id = PoolId(nameOf(section));
    pool.services = reader.names<ServiceId>("services", false);
    pool.maxAway = static_cast<std::uint32_t>(reader.integer("max_away", 0, maxAwayHosts));
    pool.spare = reader.boolean("spare", false);
    return pool;
}

ServiceConfig readService(const ConfigSection &section, SectionReader &reader)
{
    ServiceConfig service;
    service.id = ServiceId(nameOf(section));
    service.serviceClass = reader.choice("class", classes);
    service.idempotent = reader.boolean("idempotent", false);
    service.deadline = Milliseconds{reader.integer("deadline_ms", 1, 30 * millisecondsPerDay)};
    service.cpus = reader.number("cpus", 0, maxCpus, 1);
    service.memoryMegabytes = reader.integer("memory_mb", 0, maxMemoryMegabytes, 512);
    service.accelerators =
            static_cast<std::uint32_t>(reader.integer("accelerators", 0, maxAccelerators, 0));
    service.runSeconds = reader.number("run_seconds", 0, 30.0 * secondsPerDay, 60);
    return service;
}

TenantConfig readTenant(const ConfigSection &section, SectionReader &reader)
{
    TenantConfig tenant;
    tenant.id = AccountId(nameOf(section));
    tenant.weight = reader.number("weight", 0.001, maxWeight, 1);
    tenant.quota = reader.number("quota", 0, maxQuotaPerSecond);
    tenant.token = reader.text("token");
    return tenant;
}

HostConfig readHost(const ConfigSection &section, SectionReader &reader)
{
    HostConfig host;
    host.id = HostId(nameOf(section));
    host.zone = reader.name<ZoneId>("zone");
    host.rack = reader.name<RackId>("rack");
    host.pool = reader.name<PoolId>("pool");
    host.cpus = reader.number("cpus", 0.1, maxCpus);
    host.memoryMegabytes = reader.integer("memory_mb", 1, maxMemoryMegabytes);
    host.accelerators =
            static_cast<std::uint32_t>(reader.integer("accelerators", 0, maxAccelerators, 0));
    host.worker = reader.address("worker");
    host.minions = reader.addresses("minions");
    host.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, maxPerMinion, 8));
    host.connections =
            static_cast<std::uint32_t>(reader.integer("connections", 1, maxPerMinion, 64));
    return host;
}

std::optional<WaveWindow> readWindow(SectionReader &reader)
{
    if (!reader.has("window_start") && !reader.has("window_end")) {
        return std::nullopt;
    }
    WaveWindow window;
    window.start = static_cast<std::uint32_t>(reader.integer("window_start", 0, secondsPerDay - 1));
    window.end = static_cast<std::uint32_t>(reader.integer("window_end", 0, secondsPerDay));
    return window;
}

WaveConfig readWave(const ConfigSection &section, SectionReader &reader)
{
    WaveConfig wave;
    wave.id = WaveId(nameOf(section));
    wave.pools = reader.names<PoolId>("pools", true);
    wave.action = reader.choice("action", actions);
    wave.state = reader.choice("state", waveStates, std::optional(WaveState::Stopped));
    if (wave.action != AbsenceKind::Reboot) {
        wave.target = reader.name<PoolId>("target");
    } else if (reader.has("target")) {
        reader.addError("target", "no target for a wave that only reboots");
    }
    wave.window = readWindow(reader);
    return wave;
}

void readKind(SectionKind kind, const ConfigSection &section, SectionReader &reader,
              Configuration &configuration)
{
    switch (kind) {
    case SectionKind::Fleet:
        configuration.fleet = readFleet(reader);
        return;
    case SectionKind::Zone:
        configuration.zones.set({ZoneId(nameOf(section)), reader.name<RegionId>("region")});
        return;
    case SectionKind::Rack:
        configuration.racks.set({RackId(nameOf(section)), reader.name<ZoneId>("zone")});
        return;
    case SectionKind::Pool:
        configuration.pools.set(readPool(section, reader));
        return;
    case SectionKind::Service:
        configuration.services.set(readService(section, reader));
        return;
    case SectionKind::Tenant:
        configuration.tenants.set(readTenant(section, reader));
        return;
    case SectionKind::Host:
        configuration.hosts.set(readHost(section, reader));
        return;
    default:
        configuration.waves.set(readWave(section, reader));
    }
}

constexpr std::array<std::string_view, 8> configurationKinds = {
        "fleet", "zone", "rack", "pool", "service", "tenant", "host", "wave"};

}  // namespace

void readSection(const ConfigSection &section, Configuration &configuration, ConfigErrors &errors)
{
    SectionReader reader(section, errors);
    const auto kind = sectionKind(section.id.kind());
    if (!kind || *kind > SectionKind::Wave) {
        reader.addError("", fmt::format("a section of a known kind; the nearest is '{}'",
                                        nearestWord(section.id.kind(), configurationKinds)));
        return;
    }
    if (*kind == SectionKind::Fleet && section.id.text() != "fleet") {
        reader.addError("", "[fleet] without a name");
        return;
    }
    if (*kind != SectionKind::Fleet && !isName(section.id.name())) {
        reader.addError("", "a kind and a name of 1 to 64 letters, digits, '.', '_' or '-'");
        return;
    }
    readKind(*kind, section, reader, configuration);
    reader.reportUnknownKeys(*kind);
}

void removeSection(const SectionId &id, Configuration &configuration)
{
    const std::string name(id.name());
    switch (sectionKind(id.kind()).value_or(SectionKind::Tokens)) {
    case SectionKind::Zone:
        configuration.zones.remove(ZoneId(name));
        return;
    case SectionKind::Rack:
        configuration.racks.remove(RackId(name));
        return;
    case SectionKind::Pool:
        configuration.pools.remove(PoolId(name));
        return;
    case SectionKind::Service:
        configuration.services.remove(ServiceId(name));
        return;
    case SectionKind::Tenant:
        configuration.tenants.remove(AccountId(name));
        return;
    case SectionKind::Host:
        configuration.hosts.remove(HostId(name));
        return;
    case SectionKind::Wave:
        configuration.waves.remove(WaveId(name));
        return;
    default:
        return;
    }
}

}  // namespace poplarstream
