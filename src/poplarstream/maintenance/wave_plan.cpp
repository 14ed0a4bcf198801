#include "poplarstream/maintenance/wave_plan.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for any_of, lower_bound, max, min
#include <functional>  // for greater
#include <queue>  // for priority_queue

#include "candidates.hpp"  // for CandidateSelector, absenceNeeds
#include "loans.hpp"  // for chooseLoans

namespace poplarstream::maintenance {
namespace {

// Simulates the absences of all waves forward in time.
class Forecast
{
public:
    Forecast(const FleetView &view, TimePoint now)
        : view_(view)
        , start_(now)
        , now_(now)
        , usage_(view, {}, true)
        , needs_(absenceNeeds(view, usage_, now))
        , selector_(view, usage_, needs_)
        , openAbsences_(view.pools.size())
    {
        for (std::size_t i = 0; i < needs_.size(); ++i) {
            const HostView &host = view.hosts[i];
            away_ += usage_.isAway(i) ? 1 : 0;
            if (host.grant && host.state != HostState::Failed && !host.isZoneLost) {
                const Milliseconds expected = expectedDuration(host, host.grant->kind, view.policy);
                returns_.emplace(std::max(now, host.grant->since + expected), i);
                isOpen_.push_back(true);
                ++openAbsences_[usage_.poolOf(i)];
            } else {
                const bool isPlanned = needs_[i] && !usage_.isAway(i);
                isOpen_.push_back(isPlanned);
                if (isPlanned) {
                    ++openAbsences_[usage_.poolOf(i)];
                }
            }
        }
        plan_.mostAway = away_;
    }

    WavePlan run()
    {
        startLoans();
        for (;;) {
            startAbsences();
            startLoanReturns();
            if (!advanceTime()) {
                break;
            }
        }
        for (std::size_t i = 0; i < needs_.size(); ++i) {
            if (isOpen_[i]) {
                plan_.blocked.push_back({view_.hosts[i].id, usage_.refusal(i, needs_[i]->target)});
            }
        }
        return std::move(plan_);
    }

private:
    void startAbsence(std::size_t host, const AbsenceNeed &need, std::string reason)
    {
        const TimePoint end = now_ + need.duration;
        const bool isMove = need.target != BudgetUsage::noPool;
        plan_.absences.push_back({view_.hosts[host].id, view_.waves[need.wave].id, need.kind,
                                  isMove ? view_.pools[need.target].id : PoolId(), now_, end,
                                  std::move(reason)});
        plan_.moves += isMove ? 1 : 0;
        plan_.rollout = std::max(plan_.rollout, end - start_);
        plan_.mostAway = std::max(plan_.mostAway, ++away_);
        usage_.markAway(host, need.target);
        selector_.invalidate(usage_.poolOf(host));
        if (isMove) {
            selector_.invalidate(need.target);
        }
        returns_.emplace(end, host);
    }

    void startLoans()
    {
        for (const LoanChoice &loan : chooseLoans(view_, usage_, needs_)) {
            if (needs_[loan.host]) {
                selector_.remove(loan.host);
                markCompleted(loan.host);
            }
            const AbsenceNeed need{
                    loan.kind, loan.target, loan.wave,
                    expectedDuration(view_.hosts[loan.host], loan.kind, view_.policy)};
            startAbsence(
                    loan.host, need,
                    "lent, because the demand allows fewer hosts away than the budget of the pool");
            activeLoans_.push_back({loan.host, usage_.poolOf(loan.host), loan.wave});
        }
        for (std::size_t w = 0; w < view_.waves.size(); ++w) {
            for (const Loan &loan : view_.waves[w].loans) {
                const auto it = std::lower_bound(
                        view_.hosts.begin(), view_.hosts.end(), loan.host,
                        [](const HostView &host, const HostId &id) { return host.id < id; });
                const auto host = static_cast<std::size_t>(it - view_.hosts.begin());
                const bool isHere = it != view_.hosts.end() && it->id == loan.host;
                if (isHere && !needs_[host] && usage_.poolIndex(loan.from) != BudgetUsage::noPool) {
                    activeLoans_.push_back({host, usage_.poolIndex(loan.from), w});
                }
            }
        }
    }

    void startAbsences()
    {
        while (const auto host = selector_.next(now_)) {
            const AbsenceNeed &need = *needs_[*host];
            const std::size_t pool = usage_.poolOf(*host);
            selector_.remove(*host);
            startAbsence(
                    *host, need,
                    fmt::format(
                            "{}; longest expected absence first, {} s; {} of {} away in pool {}",
                            need.isShared ? "one absence for several waves" : "one wave",
                            need.duration.count() / 1000, usage_.awayInPool(pool) + 1,
                            view_.pools[pool].maxAway, view_.pools[pool].id.text()));
        }
    }

    void startLoanReturns()
    {
        for (auto it = activeLoans_.begin(); it != activeLoans_.end();) {
            const std::size_t pool = usage_.poolOf(it->host);
            const bool isDue = pool != it->home && openAbsences_[pool] == 0;
            if (!isDue || usage_.refusal(it->host, it->home) != Refusal::None) {
                ++it;
                continue;
            }
            const AbsenceNeed need{
                    AbsenceKind::Move, it->home, it->wave,
                    expectedDuration(view_.hosts[it->host], AbsenceKind::Move, view_.policy)};
            startAbsence(it->host, need, "return of a loan; the pool needs no more absences");
            it = activeLoans_.erase(it);
        }
    }

    // Advances to the next return of a host or opening of a window; returns false if there is none.
    bool advanceTime()
    {
        std::optional<TimePoint> next;
        if (!returns_.empty()) {
            next = returns_.top().first;
        }
        if (!selector_.isEmpty()) {
            for (const WaveView &wave : view_.waves) {
                if (wave.window && wave.state == WaveState::Running) {
                    const TimePoint opening = nextOpening(*wave.window, now_ + Milliseconds{1});
                    next = next ? std::min(*next, opening) : opening;
                }
            }
        }
        // If nothing has changed for this long, the remaining hosts are blocked by more than a
        // window.
        constexpr Milliseconds day{24 * 60 * 60 * 1000};
        if (!next || (returns_.empty() && *next > lastChange_.value_or(start_) + 2 * day)) {
            return false;
        }
        now_ = *next;
        while (!returns_.empty() && returns_.top().first <= now_) {
            const std::size_t host = returns_.top().second;
            returns_.pop();
            finishAbsence(host);
            lastChange_ = now_;
        }
        // The passage of time alone only affects windows.
        if (hasWindow()) {
            selector_.invalidateAll();
        }
        return true;
    }

    bool hasWindow() const
    {
        return std::any_of(view_.waves.begin(), view_.waves.end(),
                           [](const WaveView &wave) { return wave.window.has_value(); });
    }

    void finishAbsence(std::size_t host)
    {
        markCompleted(host);
        selector_.invalidate(usage_.poolOf(host));
        usage_.markReturned(host);
        selector_.invalidate(usage_.poolOf(host));
        --away_;
    }

    void markCompleted(std::size_t host)
    {
        if (isOpen_[host]) {
            isOpen_[host] = false;
            --openAbsences_[usage_.poolOf(host)];
        }
    }

    struct ActiveLoan
    {
        std::size_t host;
        std::size_t home;
        std::size_t wave;
    };
    using Return = std::pair<TimePoint, std::size_t>;

    const FleetView &view_;
    TimePoint start_;
    TimePoint now_;
    BudgetUsage usage_;
    std::vector<std::optional<AbsenceNeed>> needs_;
    CandidateSelector selector_;
    std::vector<std::uint32_t> openAbsences_;  // [pool]: hosts whose absence has not ended
    std::vector<bool> isOpen_;
    std::vector<ActiveLoan> activeLoans_;
    std::priority_queue<Return, std::vector<Return>, std::greater<>> returns_;
    std::optional<TimePoint> lastChange_;
    std::uint32_t away_ = 0;
    WavePlan plan_;
};

}  // namespace

WavePlan planWaves(const FleetView &view, TimePoint now)
{
    return Forecast(view, now).run();
}

}  // namespace poplarstream::maintenance
