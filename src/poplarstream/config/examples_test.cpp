#include <filesystem>  // for directory_iterator
#include <fstream>  // for ifstream
#include <map>  // for map
#include <set>  // for set
#include <sstream>  // for ostringstream

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/config/edits.hpp"  // for difference
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/config/settings.hpp"  // for readSettings
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/records/codec.hpp"  // for encode

namespace poplarstream {
namespace {

struct Deployment
{
    std::string name;
    std::size_t zones;
    std::string spare;
    std::uint64_t memoryMegabytes;
};

class Example : public testing::TestWithParam<Deployment>
{};

std::filesystem::path exampleFolder(const std::string &name)
{
    return std::filesystem::path(POPLAR_SOURCE_DIR) / "examples" / name;
}

ConfigDocument loadDocument(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const ParsedDocument parsed = parseDocument(text.str());
    EXPECT_TRUE(parsed.errors.empty()) << describe(parsed.errors);
    return parsed.document;
}

// Guards against example documents that no longer load, or whose size differs from the deployment
// that measurements assume.
TEST_P(Example, HasTheSizeOfTheDeployment)
{
    const ConfigurationResult read =
            readConfiguration(loadDocument(exampleFolder(GetParam().name) / "fleet.ini"));
    ASSERT_TRUE(read.errors.empty()) << describe(read.errors);
    const Configuration &fleet = read.configuration;
    EXPECT_EQ(fleet.fleet.name, GetParam().name);
    EXPECT_EQ(fleet.hosts.size(), 50u);
    EXPECT_EQ(fleet.zones.size(), GetParam().zones);
    EXPECT_EQ(fleet.pools.size(), 6u);
    EXPECT_EQ(fleet.services.size(), 5u);
    EXPECT_TRUE(fleet.pools.find(PoolId(GetParam().spare))->spare);
    std::map<PoolId, std::size_t> minions;
    std::map<RackId, std::size_t> racks;
    for (const HostConfig &host : fleet.hosts) {
        EXPECT_EQ(host.memoryMegabytes, GetParam().memoryMegabytes);
        EXPECT_EQ(host.worker.port, 7000);
        minions[host.pool] += host.minions.size();
        EXPECT_LE(++racks[host.rack], 4u);
    }
    for (const PoolConfig &pool : fleet.pools) {
        EXPECT_EQ(minions[pool.id], pool.spare ? 0u : 10u) << pool.id.text();
    }
    for (const WaveConfig &wave : fleet.waves) {
        EXPECT_EQ(wave.state, WaveState::Stopped);
    }
}

// Guards against a first publication that is too large for a log record.
TEST_P(Example, FitsIntoOneRecord)
{
    const ConfigChange first{
            0, "operator",
            difference({}, loadDocument(exampleFolder(GetParam().name) / "fleet.ini"))};
    const ControlRecord record{{RecordId("r"), EntryHostId("e")}, first};
    EXPECT_LT(encode(record).size(), maxRecordBytes);
}

// Loads the settings of all entry hosts of an example.
std::vector<ProcessSettings> loadSettings(const std::string &name)
{
    std::vector<ProcessSettings> all;
    for (const auto &entry : std::filesystem::directory_iterator(exampleFolder(name))) {
        if (entry.path().filename().string().starts_with("entry-")) {
            const SettingsResult read = readSettings(loadDocument(entry.path()));
            EXPECT_TRUE(read.errors.empty()) << entry.path() << ": " << describe(read.errors);
            all.push_back(read.settings);
        }
    }
    return all;
}

// Guards against example settings that no longer load, lack a peer, disagree with the zone or
// address in the settings of that peer, or refer to a zone that the document lacks.
TEST_P(Example, HasSettingsThatAgreeWithEachOther)
{
    const std::vector<ProcessSettings> all = loadSettings(GetParam().name);
    const ConfigurationResult read =
            readConfiguration(loadDocument(exampleFolder(GetParam().name) / "fleet.ini"));
    EXPECT_EQ(all.size(), 8u);
    std::set<EntryHostId> ids;
    std::set<Address> addresses;
    for (const ProcessSettings &own : all) {
        SCOPED_TRACE(own.id.text());
        EXPECT_TRUE(ids.insert(own.id).second);
        for (const Address address : {own.callers, own.operators, own.peersListen}) {
            EXPECT_TRUE(addresses.insert(address).second) << addressText(address);
        }
        const ZoneConfig *zone = read.configuration.zones.find(own.zone);
        ASSERT_NE(zone, nullptr);
        EXPECT_EQ(zone->region, own.region);
        EXPECT_EQ(own.platform, all.front().platform);
        EXPECT_EQ(own.peers.size(), all.size() - 1);
        for (const ProcessSettings &other : all) {
            if (other.id != own.id) {
                const auto peer = own.peers.find(other.id);
                ASSERT_NE(peer, own.peers.end()) << other.id.text();
                EXPECT_EQ(peer->second.zone, other.zone) << other.id.text();
                EXPECT_EQ(peer->second.address, other.peersListen) << other.id.text();
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Deployments, Example,
                         testing::Values(Deployment{"van-harselaar", 3, "reserve", 131072},
                                         Deployment{"ex-libris", 4, "head-office", 65536}),
                         [](const auto &given) {
                             return given.param.name.substr(0, given.param.name.find('-'));
                         });

}  // namespace
}  // namespace poplarstream
