#include "design_size.hpp"

#include <iterator>  // for back_inserter

#include <fmt/format.h>  // for format_to

namespace poplarstream {
namespace {

using Out = std::back_insert_iterator<std::string>;

void writePools(Out out, const FleetSize &size)
{
    for (std::uint32_t i = 0; i < size.pools; ++i) {
        const bool spare = i + 1 == size.pools;
        fmt::format_to(out, "[pool p{:02}]\nservices={}\nmax_away={}\nspare={}\n", i,
                       spare ? "" : fmt::format("s{:02}", i), size.maxAway, spare ? "yes" : "no");
        if (!spare) {
            fmt::format_to(out,
                           "[service s{:02}]\nclass={}\nidempotent={}\ndeadline_ms={}\ncpus=1\n"
                           "memory_mb=1024\nrun_seconds=60\n",
                           i, i % 2 == 0 ? "urgent" : "slow", i % 4 == 3 ? "no" : "yes",
                           i % 2 == 0 ? 3600 : 3'600'000);
        }
    }
}

void writeHost(Out out, const FleetSize &size, std::uint32_t index)
{
    const std::uint32_t rack = index / size.hostsPerRack;
    const std::uint32_t zone = rack % size.zones;
    const std::string ip = fmt::format("127.{}.{}.{}", 1 + zone, index / 250, 1 + index % 250);
    fmt::format_to(out,
                   "[host h{:05}]\nzone=z{:02}\nrack=r{:04}\npool=p{:02}\ncpus=64\n"
                   "memory_mb=131072\nworker={}:7000\nminions={}:7100\nslots=8\n"
                   "connections=64\n",
                   index, zone, rack, index % size.pools, ip, ip);
}

}  // namespace

std::string designSizeDocument(const FleetSize &size)
{
    std::string text = "[fleet]\nname=design-size\n";
    const Out out = std::back_inserter(text);
    for (std::uint32_t i = 0; i < size.zones; ++i) {
        fmt::format_to(out, "[zone z{:02}]\nregion=g{}\n", i, i % size.regions);
    }
    writePools(out, size);
    for (std::uint32_t i = 0; i < size.tenants; ++i) {
        fmt::format_to(out, "[tenant t{:03}]\nweight=1\nquota=50\ntoken=token-{:03}\n", i, i);
    }
    for (std::uint32_t i = 0; i < size.hosts; ++i) {
        writeHost(out, size, i);
    }
    text += "[wave w1]\npools=";
    for (std::uint32_t i = 0; i < size.pools; ++i) {
        fmt::format_to(out, "{}p{:02}", i == 0 ? "" : ",", i);
    }
    text += "\naction=reboot\nstate=running\n";
    return text;
}

}  // namespace poplarstream
