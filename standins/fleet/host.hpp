#pragma once

#include <functional>  // for function
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "common/document.hpp"  // for Section
#include "fleet/minion.hpp"  // for Minion
#include "fleet/worker.hpp"  // for Worker

namespace poplarstream::standins {

// A simulated host: a worker and its minions.
class Host
{
public:
    // `announce` is called with "live", "leaving" or "gone" when the state of the host changes.
    Host(boost::asio::io_context &io, FleetContext &context, const Section &section,
         Milliseconds rebootTime, std::function<void(const std::string &)> announce);

    void open();
    void close();
    void setFault(Fault fault, double factor);
    // Injects a fault into one minion. Returns false if the host has no such minion.
    bool setMinionFault(const HttpEndpoint &endpoint, Fault fault, double factor);
    void tick(std::int64_t nowMs, std::int64_t elapsedMs) { worker_->tick(nowMs, elapsedMs); }

    const std::string &name() const { return name_; }
    nlohmann::json state() const;

private:
    void setDraining(bool isDraining);
    bool areMinionsIdle() const;
    // Closes the worker and the minions after a short delay, and reopens them after the reboot
    // time.
    void reboot(Offset grant);
    void recordEvent(const std::string &kind);
    void recordAnswering();

    boost::asio::io_context &io_;
    FleetContext &context_;
    std::string name_;
    Milliseconds rebootTime_;
    std::function<void(const std::string &)> announce_;
    std::unique_ptr<Worker> worker_;
    std::vector<std::unique_ptr<Minion>> minions_;
    Fault fault_ = Fault::None;
    bool isAnswering_ = false;
    bool isRebooting_ = false;
    bool isDead_ = false;
};

}  // namespace poplarstream::standins
