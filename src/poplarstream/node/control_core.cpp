#include "control_core.hpp"

#include "poplarstream/runs/batch.hpp"  // for batchEntries

namespace poplarstream {

namespace {

// A lease renewal is useless once the lease has expired; other records are retried for longer.
Milliseconds retryTimeout(const ControlBody &body)
{
    const auto *lease = std::get_if<LeaderLease>(&body);
    return lease != nullptr ? lease->duration : appendRetryTimeout;
}

}  // namespace

ControlCore::ControlCore(ControlSettings controlSettings, ControlPorts controlPorts)
    : settings(std::move(controlSettings))
    , ports(std::move(controlPorts))
    , outbox{.writer = settings.self, .incarnation = settings.incarnation}
    , random(settings.incarnation)
{
    fleet.name = controlStreamName;
    runs.name = "runs-" + settings.zone.text();
    ownerState.self = settings.self;
    ownerState.zone = settings.zone;
}

RecordId ControlCore::propose(ControlBody body)
{
    RecordId id = nextRecordId(outbox);
    const TimePoint now = clock.now();
    const TimePoint retryUntil = now + retryTimeout(body);
    const std::string text = encode(ControlRecord{{id, settings.self}, std::move(body)});
    addProposal(outbox, id, fleet.name, text, now, retryUntil);
    ports.append(id, fleet.name, text);
    return id;
}

std::vector<RunRecord> ControlCore::proposeEntries(std::span<const RunEntry> entries)
{
    const TimePoint now = clock.now();
    std::vector<RunRecord> records =
            batchEntries(entries, settings.self, [this] { return nextRecordId(outbox); });
    for (const RunRecord &record : records) {
        const std::string text = encode(record);
        recordAppend(ownerState, record, now);
        addProposal(outbox, record.header.id, runs.name, text, now, now + appendRetryTimeout);
        ports.append(record.header.id, runs.name, text);
    }
    return records;
}

void ControlCore::resend()
{
    for (const Resend &due : collectResends(outbox, clock.now())) {
        ports.append(due.id, due.stream, due.text);
    }
}

}  // namespace poplarstream
