#include <fstream>  // for ifstream
#include <map>  // for map
#include <set>  // for set
#include <sstream>  // for ostringstream

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/config/edits.hpp"  // for difference
#include "poplarstream/config/ini.hpp"  // for parseDocument
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

ConfigDocument loaded(const std::string &name)
{
    std::ifstream file(std::string(POPLAR_SOURCE_DIR) + "/examples/" + name + "/fleet.ini");
    std::ostringstream text;
    text << file.rdbuf();
    const ParsedDocument parsed = parseDocument(text.str());
    EXPECT_TRUE(parsed.faults.empty()) << describe(parsed.faults);
    return parsed.document;
}

// Guards against example documents that no longer load, or no longer have the size of the
// deployment that measurements assume.
TEST_P(Example, HasTheSizeOfTheDeployment)
{
    const ReadConfiguration read = readConfiguration(loaded(GetParam().name));
    ASSERT_TRUE(read.faults.empty()) << describe(read.faults);
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

// Guards against a first publication that the log refuses for its size.
TEST_P(Example, FitsIntoOneRecord)
{
    const ConfigChange first{0, "operator", difference({}, loaded(GetParam().name))};
    const ControlRecord record{{RecordId("r"), EntryHostId("e")}, first};
    EXPECT_LT(encode(record).size(), maxRecordBytes);
}

INSTANTIATE_TEST_SUITE_P(Deployments, Example,
                         testing::Values(Deployment{"van-harselaar", 3, "reserve", 131072},
                                         Deployment{"ex-libris", 4, "head-office", 65536}),
                         [](const auto &given) {
                             return given.param.name.substr(0, given.param.name.find('-'));
                         });

}  // namespace
}  // namespace poplarstream
