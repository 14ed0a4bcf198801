#include "fleet/host.hpp"

#include <algorithm>  // for all_of
#include <stdexcept>  // for runtime_error

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for runAfter, systemMilliseconds

namespace poplarstream::standins {

namespace {

// Leaves time for the response to the reboot command.
constexpr Milliseconds rebootResponseDelay{100};

}  // namespace

Host::Host(boost::asio::io_context &io, FleetContext &context, const Section &section,
           Milliseconds rebootTime, std::function<void(const std::string &)> announce)
    : io_(io)
    , context_(context)
    , name_(section.name)
    , rebootTime_(rebootTime)
    , announce_(std::move(announce))
{
    const auto worker = section.endpoints("worker");
    if (worker.size() != 1) {
        throw std::runtime_error("[host " + name_ + "] needs one worker = ip:port");
    }
    worker_ = std::make_unique<Worker>(
            io, context, WorkerOptions{name_, worker.front(), section.number("memory_mb", 0)},
            WorkerCallbacks{[this](bool isDraining) { setDraining(isDraining); },
                            [this](Offset grant) { reboot(grant); },
                            [this] { return areMinionsIdle(); }});
    for (const HttpEndpoint &endpoint : section.endpoints("minions")) {
        const auto slots = static_cast<std::size_t>(section.number("slots", 8));
        const MinionOptions options{name_ + "/" + std::to_string(minions_.size()), endpoint, slots,
                                    slots};
        minions_.push_back(std::make_unique<Minion>(io, context, options));
    }
}

void Host::open()
{
    if (isDead_ || isRebooting_ || worker_->isOpen()) {
        return;
    }
    worker_->open();
    for (const auto &minion : minions_) {
        minion->setLeaving(false);
        minion->open();
    }
    recordEvent("boot");
    recordAnswering();
    announce_("live");
}

void Host::close()
{
    worker_->close();
    for (const auto &minion : minions_) {
        minion->close();
    }
    recordAnswering();
}

void Host::recordEvent(const std::string &kind)
{
    context_.history.write({{"kind", kind}, {"host", name_}, {"time_ms", systemMilliseconds()}});
}

// Records when the worker starts or stops answering.
void Host::recordAnswering()
{
    const bool isAnswering = worker_->isOpen() && fault_ != Fault::Silent;
    if (isAnswering != isAnswering_) {
        isAnswering_ = isAnswering;
        recordEvent(isAnswering ? "answering" : "not-answering");
    }
}

void Host::setDraining(bool isDraining)
{
    for (const auto &minion : minions_) {
        minion->setLeaving(isDraining);
    }
    recordEvent(isDraining ? "drain" : "undrain");
    announce_(isDraining ? "leaving" : "live");
}

bool Host::areMinionsIdle() const
{
    return std::all_of(minions_.begin(), minions_.end(),
                       [](const auto &minion) { return minion->isIdle(); });
}

void Host::reboot(Offset grant)
{
    if (isRebooting_) {
        return;
    }
    isRebooting_ = true;
    context_.history.write({{"kind", "reboot"},
                            {"host", name_},
                            {"grant", grant},
                            {"time_ms", systemMilliseconds()}});
    runAfter(io_, rebootResponseDelay, [this, grant] {
        close();
        worker_->recordReboot(grant);
        announce_("gone");
        runAfter(io_, rebootTime_, [this] {
            isRebooting_ = false;
            open();
        });
    });
}

void Host::setFault(Fault fault, double factor)
{
    context_.history.write({{"kind", "fault"},
                            {"host", name_},
                            {"fault", static_cast<int>(fault)},
                            {"time_ms", systemMilliseconds()}});
    fault_ = fault;
    isDead_ = fault == Fault::Dead;
    worker_->setFault(fault, factor);
    for (const auto &minion : minions_) {
        minion->setFault(fault, factor);
    }
    if (isDead_) {
        close();
    } else {
        open();
    }
    recordAnswering();
}

bool Host::setMinionFault(const HttpEndpoint &endpoint, Fault fault, double factor)
{
    for (const auto &minion : minions_) {
        if (minion->options().endpoint != endpoint) {
            continue;
        }
        if (fault == Fault::Dead) {
            minion->close();
        } else {
            minion->setFault(fault, factor);
            if (!minion->isOpen() && worker_->isOpen()) {
                minion->open();
            }
        }
        return true;
    }
    return false;
}

nlohmann::json Host::state() const
{
    std::size_t busy = 0;
    for (const auto &minion : minions_) {
        busy += minion->busy();
    }
    return {{"state", isDead_                 ? "dead"
                      : isRebooting_          ? "rebooting"
                      : worker_->isDrained()  ? "drained"
                      : worker_->isDraining() ? "draining"
                                              : "in-service"},
            {"tasks", worker_->runningTasks()},
            {"busy", busy}};
}

}  // namespace poplarstream::standins
