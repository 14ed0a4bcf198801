#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView, InFlight
#include "poplarstream/records/control_record.hpp"  // for ControlBody
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream::maintenance {

// The latest status of a host.
struct HostObservation
{
    HostId host;
    // The grant of the host in the view when its status was requested, or 0. An observation for
    // another grant than the current one is not used.
    Offset grant = 0;
    // The newest grant that the host itself knows.
    Offset hostGrant = 0;
    // The grant of the last undrain that the host confirmed since its boot. The host refuses
    // delayed drains and reboots of this grant.
    std::optional<Offset> undrainedGrant;
    bool isDraining = false;
    bool isDrained = false;  // accepts no work and has none in progress
    bool hasRebooted = false;  // booted after the grant
    bool hasProbeSucceeded = false;  // the worker and all minions responded
    std::optional<TimePoint> unansweredSince;  // empty if the host responded
};

enum class CommandKind { Drain, Reboot, Probe, Undrain };

// A command to send to a host. Each step repeats a command until an observation shows its effect,
// so commands must be idempotent. `grant` is a fencing token: a host refuses a command whose grant
// is older than the newest one that it knows, and a drain or reboot for a grant that has been
// undrained. The sender checks holdsLease() again before each drain and reboot.
struct HostCommand
{
    CommandKind kind = CommandKind::Probe;
    HostId host;
    Offset grant = 0;
};

// An alert for the operator. Pages with the same key are about the same event and are shown once.
struct Page
{
    std::string key;
    std::string text;
};

// Why a pool or host makes no progress, for `explain`. `subject` is a pool or a host.
struct Note
{
    std::string subject;
    std::string text;
};

struct StepInput
{
    const FleetView &fleet;
    std::span<const HostObservation> observations;  // sorted by host
    std::span<const InFlight> inFlight;
    bool holdsLease = false;  // this process holds the leader lease, with the safety margin
    bool isLogAvailable = true;
    TimePoint now;  // estimate of the log's time
};

struct StepOutput
{
    std::vector<ControlBody> proposals;  // in the order to append them
    std::vector<HostCommand> commands;
    std::vector<Page> pages;
    std::vector<Note> notes;
};

// Performs one step of all waves: advances every granted absence, reports failed and recovered
// hosts, and requests new absences as far as the budgets allow. Must be called by the process that
// the replayed lease names, even if the lease has expired. Without the log, nothing is proposed.
// With the log but without a valid lease, nothing is done, since another process may hold the
// lease. Without both, hosts that have finished their absence are still probed and undrained,
// because this neither removes capacity nor interrupts work.
StepOutput stepWaves(const StepInput &input);

}  // namespace poplarstream::maintenance
