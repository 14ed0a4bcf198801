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

// The newest answer of a host. `grant` is the grant in the view under which the host was asked (0
// without one); an answer that belongs to another grant than the present one is not used.
// `hostGrant` is the newest grant that the host itself knows, and `undrainedGrant` that of the last
// undrain that it confirmed since its boot; from then on it refuses late drains and reboots of that
// grant. `isDrained`: it accepts no work and
// has none in progress. `hasRebooted`: its boot is later than the grant. `hasProbeSucceeded`: the
// worker and all minions answered this time. `unansweredSince` is empty if the host answered.
struct HostObservation
{
    HostId host;
    Offset grant = 0;
    Offset hostGrant = 0;
    std::optional<Offset> undrainedGrant;
    bool isDraining = false;
    bool isDrained = false;
    bool hasRebooted = false;
    bool hasProbeSucceeded = false;
    std::optional<TimePoint> unansweredSince;
};

enum class CommandKind { Drain, Reboot, Probe, Undrain };

// A call to make to a host. Commands are repeated by each step until an observation shows their
// effect, so they must be idempotent. `grant` fences them: a host refuses a command with an older
// grant than the newest it knows, and a drain or reboot of a grant that was undrained. The sender
// checks holdsLease() again before each drain and reboot.
struct HostCommand
{
    CommandKind kind = CommandKind::Probe;
    HostId host;
    Offset grant = 0;
};

// A message to the operator. The same key means the same event and is shown once.
struct Page
{
    std::string key;
    std::string text;
};

// Why something is not going on, for `explain`. `subject` is a pool or a host.
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
    bool holdsLease = false;  // this process holds the duty lease, with margin
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

// One step of all waves: carries on every granted absence, reports failed and recovered hosts, and
// asks for new absences as far as the budgets allow. To be called by the process that the replayed
// lease names, even when the lease has lapsed. Without the log nothing is proposed. Without a valid
// lease and with the log nothing is done, since another process may hold it; without both, hosts
// that have finished their absence are still probed and let back to work, because that neither
// takes capacity away nor cuts off work.
StepOutput stepWaves(const StepInput &input);

}  // namespace poplarstream::maintenance
