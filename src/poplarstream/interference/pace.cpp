#include "poplarstream/interference/pace.hpp"

#include <algorithm>  // for all_of, any_of, max, min

namespace poplarstream::interference {

namespace {

// A worker gets at most one command for each task in this time, and its figures cover as much.
constexpr Milliseconds decisionInterval{400};
constexpr int loweringDivisor = 4;
constexpr int lowestPace = 5;  // below this a task is stopped
constexpr int raisingStep = 20;
// A target that is missed for longer than this stops all filling tasks. The longest time that it
// may be missed because of them is more than 4 s, of which commands and figures take up to 1.5 s.
constexpr Milliseconds stopAfter{900};
// Figures show the effect of a stop after this time: the worker's delay and two figures.
constexpr Milliseconds effectDelay{1500};
// Filling tasks work at most this long beside a target that is missed before they are stopped again
// to see whether they are the cause by now. With the delays above, less than 4 s.
constexpr Milliseconds releaseTime{1500};
// A target counts as missed from here on: figures are rough, and one just below the target may
// stand for a tail above it.
constexpr double missedLoad = 0.95;
constexpr double safeLoad = 0.75;
constexpr Milliseconds safeDelay{1000};  // before paces rise; doubles with each relapse
// The same while the targets are met without a margin. A task that always comes close to its target
// would otherwise keep the others stopped.
constexpr int calmFactor = 4;
constexpr int maxRelapses = 3;
constexpr Milliseconds relapseMemory{30'000};

bool isSet(TimePoint time)
{
    return time != TimePoint{};
}

void note(TimePoint &since, bool holds, TimePoint now)
{
    since = !holds ? TimePoint{} : isSet(since) ? since : now;
}

PaceDecision setAll(std::span<const Filler> fillers, int percent)
{
    PaceDecision decision;
    for (const Filler &filler : fillers) {
        decision.percents.push_back(filler.percent == percent ? std::nullopt
                                                              : std::optional(percent));
    }
    return decision;
}

PaceDecision lower(std::span<const Filler> fillers, bool isLong)
{
    const bool hasSuspect = std::any_of(fillers.begin(), fillers.end(), [](const Filler &filler) {
        return !filler.isHarmless && filler.percent != 0;
    });
    PaceDecision decision;
    for (const Filler &filler : fillers) {
        const int quarter = filler.percent / loweringDivisor;
        const bool isSpared =
                !isLong && filler.isHarmless && hasSuspect && filler.percent != jobs::unknownPace;
        const int percent = isSpared                         ? filler.percent
                            : isLong || quarter < lowestPace ? 0
                                                             : quarter;
        decision.percents.push_back(percent == filler.percent ? std::nullopt
                                                              : std::optional(percent));
    }
    return decision;
}

PaceDecision raise(std::span<const Filler> fillers)
{
    PaceDecision decision;
    for (const Filler &filler : fillers) {
        const int percent =
                std::min(std::max(filler.percent, 0) + raisingStep, jobs::fullPacePercent);
        decision.percents.push_back(percent == filler.percent ? std::nullopt
                                                              : std::optional(percent));
    }
    return decision;
}

// Sets the paces that are not known, low since nothing else is known of the task.
PaceDecision settleUnknown(std::span<const Filler> fillers)
{
    PaceDecision decision;
    for (const Filler &filler : fillers) {
        decision.percents.push_back(filler.percent == jobs::unknownPace ? std::optional(0)
                                                                        : std::nullopt);
    }
    return decision;
}

bool changes(const PaceDecision &decision)
{
    return std::any_of(decision.percents.begin(), decision.percents.end(),
                       [](const std::optional<int> &percent) { return percent.has_value(); });
}

void noteLowered(PaceControl &control, TimePoint now)
{
    if (control.loweredAt + relapseMemory < now) {
        control.relapses = 0;
    } else if (control.loweredAt + safeDelay < now) {
        control.relapses = std::min(control.relapses + 1, maxRelapses);
    }
    control.loweredAt = now;
}

PaceDecision decideOver(PaceControl &control, std::span<const Filler> fillers, TimePoint now)
{
    if (now < control.releasedUntil) {
        return settleUnknown(fillers);
    }
    if (isSet(control.stoppedSince) && now >= control.stoppedSince + effectDelay
        && now >= control.overSince + effectDelay) {
        control.releasedUntil = now + releaseTime;
        control.stoppedSince = {};
        PaceDecision decision = setAll(fillers, jobs::fullPacePercent);
        decision.isNoEffect = true;
        return decision;
    }
    PaceDecision decision = lower(fillers, now >= control.overSince + stopAfter);
    if (changes(decision)) {
        noteLowered(control, now);
    }
    return decision;
}

// One step at a time where the margin is small, since its effect has to show first.
bool mayRaise(PaceControl &control, TimePoint now)
{
    const Milliseconds delay = safeDelay * (1 << control.relapses);
    if (isSet(control.safeSince) && now >= control.safeSince + delay) {
        return true;
    }
    const bool isCalm = isSet(control.calmSince) && now >= control.calmSince + delay * calmFactor;
    if (isCalm) {
        control.calmSince = now;
    }
    return isCalm;
}

}  // namespace

PaceDecision decidePaces(PaceControl &control, std::optional<double> load,
                         std::span<const Filler> fillers, TimePoint now)
{
    if (fillers.empty()) {
        control = {};
        return {};
    }
    if (load) {
        note(control.overSince, *load > missedLoad, now);
    }
    note(control.safeSince, load && *load < safeLoad, now);
    note(control.calmSince, load && *load <= missedLoad, now);
    note(control.stoppedSince,
         std::all_of(fillers.begin(), fillers.end(),
                     [](const Filler &filler) { return filler.percent == 0; }),
         now);
    if (!isSet(control.overSince)) {
        control.releasedUntil = {};
    }
    if (now < control.decidedAt + decisionInterval) {
        return {};
    }
    PaceDecision decision;
    if (load == 0.0) {
        decision = setAll(fillers, jobs::fullPacePercent);
    } else if (isSet(control.overSince)) {
        decision = decideOver(control, fillers, now);
    } else if (mayRaise(control, now)) {
        decision = raise(fillers);
    } else {
        decision = settleUnknown(fillers);
    }
    if (changes(decision)) {
        control.decidedAt = now;
    }
    return decision;
}

}  // namespace poplarstream::interference
