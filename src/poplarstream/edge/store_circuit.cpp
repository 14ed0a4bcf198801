#include "poplarstream/edge/store_circuit.hpp"

#include <algorithm>  // for clamp, min

#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::edge {

namespace {

// One lost connection or a short refusal does not make a store that is away.
constexpr int failuresToOpen = 3;
// A store that fails within this time of its return is away again: one failure suffices, so that
// what waits is not sent against it a second time.
constexpr Milliseconds recoveryPeriod{2000};
constexpr Milliseconds firstDelay{50};
constexpr int maxDoublings = 3;

}  // namespace

Milliseconds retryDelay(int failures, std::string_view seed)
{
    const Milliseconds full = firstDelay * (1 << std::clamp(failures - 1, 0, maxDoublings));
    const auto half = static_cast<std::uint64_t>(full.count() / 2);
    const std::uint64_t hash = stableHash(seed, static_cast<std::uint64_t>(failures));
    return full - Milliseconds(static_cast<std::int64_t>(hash % (half + 1)));
}

CircuitChange recordSuccess(StoreCircuit &circuit, StorePath path, TimePoint now)
{
    const bool wasOpen = circuit.isOpen;
    circuit.failures = 0;
    circuit.failedProbes = 0;
    circuit.lastSuccess = now;
    circuit.lastSuccessPath = path;
    circuit.isOpen = false;
    circuit.isIsolated = false;
    if (!wasOpen) {
        return CircuitChange::None;
    }
    circuit.closedAt = now;
    return CircuitChange::Closed;
}

CircuitChange recordFailure(StoreCircuit &circuit, const FailedAttempt &attempt,
                            std::string_view seed, TimePoint now)
{
    if (attempt.startedAt < circuit.lastSuccess) {
        return CircuitChange::None;
    }
    // Records that shared a call fail at the same moment, from one cause.
    const bool isSameCause = circuit.failures > 0 && circuit.lastFailure == now;
    circuit.isIsolated = !attempt.hasReachedOwner.value_or(!circuit.isIsolated);
    circuit.lastFailure = now;
    if (isSameCause) {
        return CircuitChange::None;
    }
    if (circuit.failures == 0) {
        circuit.failingSince = now;
    }
    ++circuit.failures;
    if (circuit.isOpen) {
        circuit.probeAt = now + retryDelay(++circuit.failedProbes, seed);
        return CircuitChange::None;
    }
    const bool isRecovering =
            circuit.closedAt != TimePoint{} && now - circuit.closedAt < recoveryPeriod;
    if (circuit.failures < (isRecovering ? 1 : failuresToOpen)) {
        return CircuitChange::None;
    }
    circuit.isOpen = true;
    circuit.openedAt = now;
    circuit.failedProbes = 0;
    circuit.probeAt = now + retryDelay(circuit.failures, seed);
    return CircuitChange::Opened;
}

void hastenProbe(StoreCircuit &circuit, std::string_view seed, TimePoint now)
{
    circuit.probeAt = std::min(circuit.probeAt, now + retryDelay(1, seed));
}

}  // namespace poplarstream::edge
