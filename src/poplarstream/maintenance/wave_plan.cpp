#include "poplarstream/maintenance/wave_plan.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for any_of, lower_bound, max, min
#include <functional>  // for greater
#include <queue>  // for priority_queue

#include "candidates.hpp"  // for Selector, needsOf
#include "loans.hpp"  // for chooseLoans

namespace poplarstream::maintenance {
namespace {

// Plays the absences forward in time.
class Forecast
{
public:
    Forecast(const FleetView &view, TimePoint now)
        : view_(view)
        , start_(now)
        , now_(now)
        , tally_(view, {}, true)
        , needs_(needsOf(view, tally_, now))
        , selector_(view, tally_, needs_)
        , openWork_(view.pools.size())
    {
        for (std::size_t i = 0; i < needs_.size(); ++i) {
            const HostView &host = view.hosts[i];
            away_ += tally_.isAway(i) ? 1 : 0;
            if (host.grant && host.state != HostState::Failed && !host.isZoneLost) {
                const Milliseconds expected = expectedDuration(host, host.grant->kind, view.policy);
                returns_.emplace(std::max(now, host.grant->since + expected), i);
                isOpen_.push_back(true);
                ++openWork_[tally_.poolOf(i)];
            } else {
                const bool isPlanned = needs_[i] && !tally_.isAway(i);
                isOpen_.push_back(isPlanned);
                if (isPlanned) {
                    ++openWork_[tally_.poolOf(i)];
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
            if (!goOn()) {
                break;
            }
        }
        for (std::size_t i = 0; i < needs_.size(); ++i) {
            if (isOpen_[i]) {
                plan_.blocked.push_back({view_.hosts[i].id, tally_.refusal(i, needs_[i]->target)});
            }
        }
        return std::move(plan_);
    }

private:
    void leave(std::size_t host, const Need &need, std::string reason)
    {
        const TimePoint end = now_ + need.duration;
        const bool isMove = need.target != BudgetUsage::noPool;
        plan_.absences.push_back({view_.hosts[host].id, view_.waves[need.wave].id, need.kind,
                                  isMove ? view_.pools[need.target].id : PoolId(), now_, end,
                                  std::move(reason)});
        plan_.moves += isMove ? 1 : 0;
        plan_.rollout = std::max(plan_.rollout, end - start_);
        plan_.mostAway = std::max(plan_.mostAway, ++away_);
        tally_.leave(host, need.target);
        selector_.changed(tally_.poolOf(host));
        if (isMove) {
            selector_.changed(need.target);
        }
        returns_.emplace(end, host);
    }

    void startLoans()
    {
        for (const LoanChoice &loan : chooseLoans(view_, tally_, needs_)) {
            if (needs_[loan.host]) {
                selector_.take(loan.host);
                closeWork(loan.host);
            }
            const Need need{loan.kind, loan.target, loan.wave,
                            expectedDuration(view_.hosts[loan.host], loan.kind, view_.policy)};
            leave(loan.host, need,
                  "lent, because the demand leaves the pool less room than its budget");
            lent_.push_back({loan.host, tally_.poolOf(loan.host), loan.wave});
        }
        for (std::size_t w = 0; w < view_.waves.size(); ++w) {
            for (const Loan &loan : view_.waves[w].loans) {
                const auto it = std::lower_bound(
                        view_.hosts.begin(), view_.hosts.end(), loan.host,
                        [](const HostView &host, const HostId &id) { return host.id < id; });
                const auto host = static_cast<std::size_t>(it - view_.hosts.begin());
                const bool isHere = it != view_.hosts.end() && it->id == loan.host;
                if (isHere && !needs_[host] && tally_.poolIndex(loan.from) != BudgetUsage::noPool) {
                    lent_.push_back({host, tally_.poolIndex(loan.from), w});
                }
            }
        }
    }

    void startAbsences()
    {
        while (const auto host = selector_.next(now_)) {
            const Need &need = *needs_[*host];
            const std::size_t pool = tally_.poolOf(*host);
            selector_.take(*host);
            leave(*host, need,
                  fmt::format("{}; longest expected absence first, {} s; {} of {} away in pool {}",
                              need.isShared ? "one absence for several waves" : "one wave",
                              need.duration.count() / 1000, tally_.awayInPool(pool) + 1,
                              view_.pools[pool].maxAway, view_.pools[pool].id.text()));
        }
    }

    void startLoanReturns()
    {
        for (auto it = lent_.begin(); it != lent_.end();) {
            const std::size_t pool = tally_.poolOf(it->host);
            const bool isDue = pool != it->home && openWork_[pool] == 0;
            if (!isDue || tally_.refusal(it->host, it->home) != Refusal::None) {
                ++it;
                continue;
            }
            const Need need{
                    AbsenceKind::Move, it->home, it->wave,
                    expectedDuration(view_.hosts[it->host], AbsenceKind::Move, view_.policy)};
            leave(it->host, need, "return of a loan; the pool needs no more absences");
            it = lent_.erase(it);
        }
    }

    // Goes to the next return or opening of a window; false when there is none left.
    bool goOn()
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
        // A day without an absence means that the rest is blocked by more than a window.
        constexpr Milliseconds day{24 * 60 * 60 * 1000};
        if (!next || (returns_.empty() && *next > lastChange_.value_or(start_) + 2 * day)) {
            return false;
        }
        now_ = *next;
        while (!returns_.empty() && returns_.top().first <= now_) {
            const std::size_t host = returns_.top().second;
            returns_.pop();
            comeBack(host);
            lastChange_ = now_;
        }
        // Time alone changes nothing but the windows.
        if (hasWindow()) {
            selector_.changedAll();
        }
        return true;
    }

    bool hasWindow() const
    {
        return std::any_of(view_.waves.begin(), view_.waves.end(),
                           [](const WaveView &wave) { return wave.window.has_value(); });
    }

    void comeBack(std::size_t host)
    {
        closeWork(host);
        selector_.changed(tally_.poolOf(host));
        tally_.comeBack(host);
        selector_.changed(tally_.poolOf(host));
        --away_;
    }

    void closeWork(std::size_t host)
    {
        if (isOpen_[host]) {
            isOpen_[host] = false;
            --openWork_[tally_.poolOf(host)];
        }
    }

    struct Lent
    {
        std::size_t host;
        std::size_t home;
        std::size_t wave;
    };
    using Return = std::pair<TimePoint, std::size_t>;

    const FleetView &view_;
    TimePoint start_;
    TimePoint now_;
    BudgetUsage tally_;
    std::vector<std::optional<Need>> needs_;
    Selector selector_;
    std::vector<std::uint32_t> openWork_;  // [pool]: hosts whose absence is not over
    std::vector<bool> isOpen_;
    std::vector<Lent> lent_;
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
