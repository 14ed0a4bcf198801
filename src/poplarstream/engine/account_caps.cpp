#include "poplarstream/engine/account_caps.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_use.hpp"  // for uncountUse
#include "poplarstream/engine/attempts.hpp"  // for recordDecision

namespace poplarstream::engine {

namespace {

// An account that is held by its cap now and then, as its runs end and new ones start, counts as
// held all the while. Otherwise each plan would log a change.
constexpr Milliseconds holdMemory{2000};

// For as long room is kept for gangs while less than half of the limits is used. Deployments may
// require that an account with that much room has no job without runs for 3 s.
constexpr Milliseconds longestHalfFree{1500};

std::string_view reasonText(HoldReason reason)
{
    switch (reason) {
    case HoldReason::Cap:
        return "cap";
    case HoldReason::GangWiderThanCap:
        return "gang-wider-than-cap";
    case HoldReason::NotConfigured:
        return "account-not-configured";
    case HoldReason::None:
        break;
    }
    return "none";
}

AccountGate &gateOf(Engine &engine, AccountGates &gates, const AccountId &account)
{
    const auto [place, isNew] = gates.try_emplace(account);
    if (isNew) {
        place->second.cap = ownedCap(engine, account);
        place->second.use = &engine.accountUse[account];
        const auto hold = engine.capHolds.find(account);
        place->second.isRoomForGangsKept =
                hold == engine.capHolds.end() || hold->second.isRoomForGangsKept;
    }
    return place->second;
}

// What the account may not use: what it has running, and what is kept for its gangs.
jobs::Resources takenOf(const AccountGate &gate)
{
    jobs::Resources taken = *gate.use;
    taken += gate.reserved;
    return taken;
}

bool isHalfFree(const AccountGate &gate)
{
    jobs::Resources twice = *gate.use;
    twice += *gate.use;
    const jobs::Resources &limits = gate.cap->limits;
    return twice.cpuMilli < limits.cpuMilli && twice.memoryMb < limits.memoryMb
           && (twice.gpus == 0 || twice.gpus < limits.gpus);
}

void updateHold(CapHold &hold, const AccountGate &gate, TimePoint now)
{
    hold.heldAt = now;
    if (!gate.cap || !isHalfFree(gate)) {
        hold.halfFreeSince.reset();
    } else if (!hold.halfFreeSince) {
        hold.halfFreeSince = now;
    }
    hold.isRoomForGangsKept = !hold.halfFreeSince || now < *hold.halfFreeSince + longestHalfFree;
}

// Keeps the reason of the first thing that was held back: it ranks highest.
bool holdBack(AccountGate &gate, HoldReason reason)
{
    gate.held = gate.held == HoldReason::None ? reason : gate.held;
    return false;
}

std::string textOf(const Engine &engine, const AccountId &account)
{
    const auto cap = ownedCap(engine, account);
    return fmt::format(
            "account={}{}", account.text(),
            accounts::capText(useOf(engine, account), cap ? cap->limits : jobs::Resources{}));
}

void recordHold(Engine &engine, DecisionKind kind, const AccountId &account, std::string_view more)
{
    recordDecision(engine, kind, {}, {}, fmt::format("{} {}", textOf(engine, account), more));
}

}  // namespace

std::optional<accounts::OwnedCap> ownedCap(const Engine &engine, const AccountId &account)
{
    const auto configured = engine.accounts.find(account);
    const auto limits = engine.accountLimits.find(account);
    if (configured == engine.accounts.end() || limits == engine.accountLimits.end()) {
        return std::nullopt;
    }
    return accounts::OwnedCap{limits->second, accounts::limitsOf(configured->second.cap),
                              engine.limits.capOvershoot};
}

jobs::Resources useOf(const Engine &engine, const AccountId &account)
{
    const auto use = engine.accountUse.find(account);
    return use == engine.accountUse.end() ? jobs::Resources{} : use->second;
}

jobs::Resources longRunningUseOf(const Engine &engine, const AccountId &account)
{
    const auto use = engine.longRunningUse.find(account);
    return use == engine.longRunningUse.end() ? jobs::Resources{} : use->second;
}

bool passesGate(Engine &engine, AccountGates &gates, const jobs::Job &job,
                const jobs::StepSpec &step)
{
    const AccountId &account = job.submission.account;
    if (account.isEmpty()) {
        return true;
    }
    AccountGate &gate = gateOf(engine, gates, account);
    if (!gate.cap) {
        return holdBack(gate, HoldReason::NotConfigured);
    }
    const bool ignoresGangs = !gate.isRoomForGangsKept && isHalfFree(gate);
    return accounts::mayStart(*gate.cap, ignoresGangs ? *gate.use : takenOf(gate), step.need)
           || holdBack(gate, HoldReason::Cap);
}

bool passesGateAsGang(Engine &engine, AccountGates &gates, const jobs::Job &job,
                      const jobs::StepSpec &step)
{
    const AccountId &account = job.submission.account;
    if (account.isEmpty()) {
        return true;
    }
    AccountGate &gate = gateOf(engine, gates, account);
    if (!gate.cap) {
        return holdBack(gate, HoldReason::NotConfigured);
    }
    if (accounts::mayStartGang(*gate.cap, takenOf(gate), step.need, step.count)) {
        return true;
    }
    if (!accounts::canGangFit(*gate.cap, {}, step.need, step.count)) {
        return holdBack(gate, HoldReason::GangWiderThanCap);
    }
    // What other owners hold does not become free by keeping this owner's part free.
    if (accounts::mayStartGang(*gate.cap, longRunningUseOf(engine, account), step.need,
                               step.count)) {
        for (int member = 0; member < step.count; ++member) {
            gate.reserved += step.need;
        }
    }
    return holdBack(gate, HoldReason::Cap);
}

bool mayRestart(const Engine &engine, const jobs::Job &job, const jobs::StepSpec &step)
{
    const AccountId &account = job.submission.account;
    if (account.isEmpty()) {
        return true;
    }
    const auto cap = ownedCap(engine, account);
    jobs::Resources use = useOf(engine, account);
    use -= step.need;
    return cap && accounts::mayStart(*cap, use, step.need);
}

bool isWithinCap(const Engine &engine, const jobs::Job &job, const jobs::StepSpec &step)
{
    const AccountId &account = job.submission.account;
    if (account.isEmpty()) {
        return true;
    }
    const auto cap = ownedCap(engine, account);
    return cap && accounts::maySendStart(*cap, useOf(engine, account), step.need);
}

std::string accountText(const Engine &engine, const jobs::Job &job)
{
    return job.submission.account.isEmpty() ? std::string()
                                            : " " + textOf(engine, job.submission.account);
}

void recordHolds(Engine &engine, const AccountGates &gates, TimePoint now)
{
    for (const auto &[account, gate] : gates) {
        if (gate.held == HoldReason::None) {
            uncountUse(engine, {account, {}});  // drops the entry if nothing of it was started
            continue;
        }
        const auto [place, isNew] = engine.capHolds.try_emplace(account, CapHold{now, now, {}});
        updateHold(place->second, gate, now);
        if (isNew) {
            recordHold(engine, DecisionKind::AccountHeld, account,
                       fmt::format("reason={}", reasonText(gate.held)));
        }
        uncountUse(engine, {account, {}});
    }
    for (auto hold = engine.capHolds.begin(); hold != engine.capHolds.end();) {
        if (hold->second.heldAt + holdMemory > now) {
            ++hold;
            continue;
        }
        recordHold(engine, DecisionKind::AccountFree, hold->first,
                   fmt::format("held_ms={}", (now - hold->second.since).count()));
        hold = engine.capHolds.erase(hold);
    }
}

}  // namespace poplarstream::engine
