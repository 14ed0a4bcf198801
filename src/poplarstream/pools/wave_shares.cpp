#include "poplarstream/pools/wave_shares.hpp"

#include <algorithm>  // for all_of

#include "poplarstream/pools/planning.hpp"  // for isCarriedOut

namespace poplarstream::pools {

int waveShare(int cap, int shard, int shardCount,
              const std::function<bool(int shard)> &hasCarriedOut)
{
    if (cap >= shardCount || cap <= 0) {
        return cap / shardCount + (shard < cap % shardCount ? 1 : 0);
    }
    for (int earlier = 0; earlier <= shard - cap; ++earlier) {
        if (!hasCarriedOut(earlier)) {
            return 0;
        }
    }
    return 1;
}

bool isMaintenanceOver(const Pools &pools, const WaveView &wave)
{
    if (!isCarriedOut(pools, wave) || !wave.inMaintenance.empty()) {
        return false;
    }
    return std::all_of(wave.wave.machines.begin(), wave.wave.machines.end(),
                       [&pools](const MachineId &id) {
                           const auto found = pools.machines.find(id);
                           return found == pools.machines.end()
                                  || found->second.machine.state != MachineState::InMaintenance;
                       });
}

}  // namespace poplarstream::pools
