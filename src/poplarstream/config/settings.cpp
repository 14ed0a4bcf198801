#include "poplarstream/config/settings.hpp"

#include <algorithm>  // for sort
#include <array>  // for array

#include <fmt/format.h>  // for format

#include "poplarstream/config/schema.hpp"  // for sectionKind, SectionKind
#include "poplarstream/config/section_reader.hpp"  // for SectionReader
#include "poplarstream/config/suggest.hpp"  // for nearestWord

namespace poplarstream {
namespace {

constexpr std::array<std::string_view, 6> settingsKinds = {"entry-host", "listen", "platform",
                                                           "peers",      "limits", "tokens"};

std::uint32_t integerOr(SectionReader &reader, std::string_view key, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(key, 1, 1'000'000, fallback));
}

ProcessLimits readLimits(SectionReader &reader)
{
    ProcessLimits limits;
    limits.connections = integerOr(reader, "connections", limits.connections);
    limits.queue = integerOr(reader, "queue", limits.queue);
    limits.bodyBytes = reader.integer("body_bytes", 1, 1024 * 1024 * 1024, limits.bodyBytes);
    limits.drain = Milliseconds{reader.integer("drain_ms", 0, 3'600'000,
                                               static_cast<std::uint64_t>(limits.drain.count()))};
    limits.leaving = Milliseconds{reader.integer(
            "leaving_ms", 0, 600'000, static_cast<std::uint64_t>(limits.leaving.count()))};
    return limits;
}

std::string optionalText(SectionReader &reader, std::string_view key)
{
    return reader.has(key) ? reader.text(key) : std::string{};
}

void readPeers(const ConfigSection &section, SectionReader &reader, ProcessSettings &settings)
{
    for (const ConfigEntry &entry : section.entries) {
        if (!isName(entry.key)) {
            reader.addError(entry.key, "as key the id of an entry host");
        }
        const std::size_t space = entry.value.find(' ');
        const std::string zone = entry.value.substr(0, space);
        const auto address = space == std::string::npos
                                     ? std::nullopt
                                     : addressFromText(entry.value.substr(space + 1));
        if (!isName(zone) || !address) {
            reader.addError(entry.key, "its zone and ip:port, separated by one blank", entry.value);
            continue;
        }
        settings.peers[EntryHostId(entry.key)] = {ZoneId(zone), *address};
    }
}

void readSettingsSection(const ConfigSection &section, SettingsResult &read)
{
    SectionReader reader(section, read.errors);
    ProcessSettings &settings = read.settings;
    const auto kind = sectionKind(section.id.text());
    if (!kind || *kind < SectionKind::EntryHost) {
        reader.addError("", fmt::format("a section of the settings; the nearest is '{}'",
                                        nearestWord(section.id.text(), settingsKinds)));
        return;
    }
    switch (*kind) {
    case SectionKind::EntryHost:
        settings.id = reader.name<EntryHostId>("id");
        settings.zone = reader.name<ZoneId>("zone");
        settings.region = reader.name<RegionId>("region");
        break;
    case SectionKind::Listen:
        settings.callers = reader.address("callers");
        settings.operators = reader.address("operators");
        settings.peersListen = reader.address("peers");
        break;
    case SectionKind::Platform:
        settings.platform = reader.address("address");
        break;
    case SectionKind::Peers:
        readPeers(section, reader, settings);
        return;
    case SectionKind::Limits:
        settings.limits = readLimits(reader);
        break;
    default:
        settings.tokens = {optionalText(reader, "operators")};
    }
    reader.reportUnknownKeys(*kind);
}

void checkSettings(SettingsResult &read)
{
    const ProcessSettings &settings = read.settings;
    if (settings.peers.contains(settings.id)) {
        read.errors.push_back({"peers", settings.id.text(), "other entry hosts than this one", ""});
    }
    std::map<Address, std::string> used;
    const auto checkUnique = [&](const std::string &section, const std::string &key,
                                 Address address) {
        const auto [first, isNew] = used.emplace(address, "[" + section + "] " + key);
        if (!isNew && address != Address{}) {
            read.errors.push_back({section, key,
                                   "an address of its own; " + first->second + " has the same",
                                   addressText(address)});
        }
    };
    checkUnique("listen", "callers", settings.callers);
    checkUnique("listen", "operators", settings.operators);
    checkUnique("listen", "peers", settings.peersListen);
    for (const auto &[id, peer] : settings.peers) {
        checkUnique("peers", id.text(), peer.address);
    }
}

}  // namespace

SettingsResult readSettings(const ConfigDocument &document)
{
    SettingsResult read;
    for (const ConfigSection &section : document) {
        readSettingsSection(section, read);
    }
    for (const char *required : {"entry-host", "listen", "platform"}) {
        if (!document.contains(SectionId(required))) {
            read.errors.push_back({required, "", fmt::format("the section [{}]", required), ""});
        }
    }
    checkSettings(read);
    std::sort(read.errors.begin(), read.errors.end());
    return read;
}

}  // namespace poplarstream
