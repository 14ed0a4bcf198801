#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <unordered_map>  // for unordered_map

#include "poplarstream/accounts/cap.hpp"  // for OwnedCap
#include "poplarstream/engine/state.hpp"  // for Engine, AttemptRef

namespace poplarstream::engine {

// Why something of an account may not start.
enum class HoldReason {
    None,
    Cap,  // what runs takes up the limit
    GangWiderThanCap,  // a gang that can never fit into the cap
    NotConfigured,  // the configuration doesn't have the account
};

// An account's cap during one plan.
struct AccountGate
{
    std::optional<accounts::OwnedCap> cap;  // none: the account is not configured
    const jobs::Resources *use = nullptr;  // entry of the account in Engine::accountUse
    // Kept free for gangs that wait for the account's runs to end: tasks that rank lower would take
    // what becomes free before a gang fits. After some time with less than half of the limits in
    // use it is not kept: the runs that a gang waits for may take long.
    jobs::Resources reserved;
    bool isRoomForGangsKept = true;
    HoldReason held = HoldReason::None;  // why something was held back in this plan
};

using AccountGates = std::unordered_map<AccountId, AccountGate>;

// The cap of an account on this owner's workers, or none if it is not configured.
std::optional<accounts::OwnedCap> ownedCap(const Engine &engine, const AccountId &account);

// What the account has running here.
jobs::Resources useOf(const Engine &engine, const AccountId &account);

// The part of that which does not end by itself.
jobs::Resources longRunningUseOf(const Engine &engine, const AccountId &account);

// Whether the cap of the job's account lets a task of `step` start. Notes in the account's gate if
// it does not.
bool passesGate(Engine &engine, AccountGates &gates, const jobs::Job &job,
                const jobs::StepSpec &step);

// The same for all tasks of a gang at once. If they may start once those runs of the account that
// end by themselves have ended here, room is kept for them.
bool passesGateAsGang(Engine &engine, AccountGates &gates, const jobs::Job &job,
                      const jobs::StepSpec &step);

// Whether a task of `step` may start again after its run has been stopped.
bool mayRestart(const Engine &engine, const jobs::Job &job, const jobs::StepSpec &step);

// Whether a planned start is still within the cap, which may have dropped since it was planned. The
// start is counted already.
bool isWithinCap(const Engine &engine, const jobs::Job &job, const jobs::StepSpec &step);

// Account, use and limit of a job for the decision log, with a space in front; empty if the job has
// no account.
std::string accountText(const Engine &engine, const jobs::Job &job);

// Records which accounts begin and end to be held by their caps, after a plan.
void recordHolds(Engine &engine, const AccountGates &gates, TimePoint now);

}  // namespace poplarstream::engine
