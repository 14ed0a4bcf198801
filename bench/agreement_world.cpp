#include "agreement_world.hpp"

#include <cmath>  // for log

#include <fmt/format.h>  // for format

#include "design_size.hpp"  // for designSizeDocument
#include "poplarstream/config/edits.hpp"  // for difference
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/records/codec.hpp"  // for encode, decodeControlRecord

namespace poplarstream::bench {

namespace {

constexpr std::size_t pairs = 10;
// The periods of platform_duty.cpp and control_duty.cpp.
constexpr Milliseconds readWait{4'000};
// The read after a silent one does not wait, as in node/platform_duty.cpp.
constexpr Milliseconds promptDeadline{2'000};
constexpr Milliseconds readDeadline{5'500};
constexpr Milliseconds readRetryDelay{300};
constexpr Milliseconds appendDeadline{2'000};
constexpr Milliseconds appendRetryTimeout{60'000};
constexpr Milliseconds logSilence{8'000};
constexpr Milliseconds naivePeriod{5'000};
constexpr Milliseconds naiveDeadline{30'000};
constexpr std::uint32_t naiveTries = 3;

std::string tenantName(std::size_t tenant)
{
    return fmt::format("t{:03}", tenant);
}

ControlRecord firstRecord()
{
    const FleetSize size{.hosts = 20, .pools = 4, .tenants = 2 * pairs, .zones = 5, .maxAway = 1};
    return {{RecordId("first"), EntryHostId("operator")},
            ConfigChange{0, "operator",
                         difference({}, parseDocument(designSizeDocument(size)).document)}};
}

std::string weightOf(const FleetState &state, std::size_t tenant)
{
    const TenantConfig *found = state.configuration->tenants.find(AccountId(tenantName(tenant)));
    return found != nullptr ? fmt::format("{:g}", found->weight) : std::string();
}

}  // namespace

AgreementWorld::AgreementWorld(std::uint64_t seed, const AgreementSettings &settings)
    : settings_(settings)
    , random_(seed)
{
    changes_.push_back({0, "1", timeline_.now()});
    for (std::size_t i = 0; i < settings_.replicas; ++i) {
        replicas_.push_back(std::make_unique<Replica>());
        replicas_.back()->outbox.writer = EntryHostId(fmt::format("e{}", i));
        replicas_.back()->outbox.incarnation = 1;
        replicas_.back()->lastAnswer = timeline_.now();
    }
    store({RecordId("first"), encode(firstRecord()), 0});
    for (const auto &replica : replicas_) {
        read(*replica);
    }
}

Milliseconds AgreementWorld::delay()
{
    return Milliseconds{1 + static_cast<std::int64_t>(random_.below(settings_.longestDelay))};
}

void AgreementWorld::startOperators(double rate, double rivals)
{
    rate_ = rate;
    rivals_ = rivals;
    isOperating_ = true;
    operate();
}

void AgreementWorld::operate()
{
    const double seconds = -std::log(1 - random_.unit()) / rate_;
    timeline_.after(Milliseconds{static_cast<std::int64_t>(seconds * 1000)}, [this] {
        if (!isOperating_) {
            return;
        }
        const std::size_t pair = random_.below(pairs);
        change(pair);
        if (chance(rivals_)) {
            timeline_.after(delay(), [this, pair] { change(pair); });
        }
        operate();
    });
}

void AgreementWorld::change(std::size_t pair)
{
    Replica &replica = *replicas_[random_.below(replicas_.size())];
    // As the control duty does: without a fresh answer of the log nothing is proposed.
    if (!settings_.isNaive && timeline_.now() - replica.lastAnswer > logSilence) {
        return;
    }
    if (replica.next == 0) {
        return;
    }
    const std::size_t number = changes_.size();
    changes_.push_back({pair, std::to_string(2 + number % 400), timeline_.now()});
    propose(replica, changes_.back(), number);
}

void AgreementWorld::propose(Replica &replica, const PairChange &made, std::size_t number)
{
    std::vector<ConfigEdit> edits;
    for (const std::size_t tenant : {2 * made.pair, 2 * made.pair + 1}) {
        edits.push_back({"tenant " + tenantName(tenant), "weight", made.value});
    }
    const auto sendEdits = [&](std::vector<ConfigEdit> part) {
        const RecordId id = nextRecordId(replica.outbox);
        const std::string text = encode(
                ControlRecord{{id, replica.outbox.writer},
                              ConfigChange{replica.state.version, "operator", std::move(part)}});
        changeOfRecord_[id.text()] = number;
        if (!settings_.isNaive) {
            addProposal(replica.outbox, id, "control", text, timeline_.now(),
                        timeline_.now() + appendRetryTimeout);
        }
        send(replica, {id, text, number});
    };
    if (settings_.isNaive) {
        sendEdits({edits[0]});
        sendEdits({edits[1]});
    } else {
        sendEdits(edits);
    }
}

void AgreementWorld::send(Replica &replica, const Append &append)
{
    timeline_.after(delay(), [this, &replica, append] {
        if (!isReachable(replica) || chance(settings_.loseAppend)) {
            timeline_.after(appendDeadline,
                            [this, &replica, append] { onUnknown(replica, append); });
            return;
        }
        store(append);
        if (chance(settings_.loseAnswer)) {
            timeline_.after(appendDeadline,
                            [this, &replica, append] { onUnknown(replica, append); });
            return;
        }
        timeline_.after(delay(), [&replica, append] { onAppended(replica.outbox, append.id); });
    });
}

void AgreementWorld::onUnknown(Replica &replica, const Append &append)
{
    if (!settings_.isNaive) {
        onAppendUnknown(replica.outbox, append.id);
        resend(replica);
        return;
    }
    if (append.tries < naiveTries) {
        Append again = append;
        ++again.tries;
        again.id = nextRecordId(replica.outbox);
        changeOfRecord_[again.id.text()] = append.change;
        auto record = decodeControlRecord(append.text).value();
        record.header.id = again.id;
        again.text = encode(record);
        send(replica, again);
    }
}

void AgreementWorld::resend(Replica &replica)
{
    for (const Resend &again : collectResends(replica.outbox, timeline_.now())) {
        send(replica, {again.id, again.text, changeOfRecord_.at(again.id.text())});
    }
    const bool isWaiting = std::any_of(replica.outbox.proposals.begin(),
                                       replica.outbox.proposals.end(), [&](const auto &entry) {
                                           return entry.second.phase == ProposalPhase::Unknown
                                                  && timeline_.now() <= entry.second.retryUntil;
                                       });
    if (isWaiting) {
        timeline_.after(initialAppendRetryDelay, [this, &replica] { resend(replica); });
    }
}

void AgreementWorld::store(const Append &append)
{
    WorldRecord record{timeline_.now(), append.text, append.change};
    fold(record);
    log_.push_back(std::move(record));
    std::vector<std::pair<std::size_t, std::uint64_t>> woken;
    woken.swap(waiting_);
    for (const auto &[replica, number] : woken) {
        answer(*replicas_[replica], number);
    }
}

void AgreementWorld::fold(WorldRecord &record)
{
    const ControlRecord decoded = decodeControlRecord(record.text).value();
    const auto &change = std::get<ConfigChange>(decoded.body);
    record.isGranted = foldedIds_.insert(decoded.header.id.text()).second
                       && (settings_.isNaive || change.baseVersion == foldedVersion_);
    foldedVersion_ += record.isGranted ? 1 : 0;
    record.version = foldedVersion_;
    figures_.granted += record.isGranted ? 1 : 0;
}

void AgreementWorld::read(Replica &replica)
{
    const std::uint64_t number = ++replica.readNumber;
    const bool isPrompt = std::exchange(replica.isNextReadPrompt, false);
    const Milliseconds deadline = settings_.isNaive ? naiveDeadline
                                  : isPrompt        ? promptDeadline
                                                    : readDeadline;
    timeline_.after(deadline, [this, &replica, number] {
        if (replica.readNumber == number) {
            replica.isNextReadPrompt = true;
            timeline_.after(readRetryDelay, [this, &replica] { read(replica); });
            ++replica.readNumber;
        }
    });
    if (!isReachable(replica)) {
        return;
    }
    timeline_.after(delay(), [this, &replica, number, isPrompt] {
        if (replica.readNumber != number) {
            return;
        }
        if (settings_.isNaive || isPrompt || replica.next < log_.size()) {
            answer(replica, number);
            return;
        }
        const auto index = static_cast<std::size_t>(
                std::find_if(replicas_.begin(), replicas_.end(),
                             [&](const auto &entry) { return entry.get() == &replica; })
                - replicas_.begin());
        waiting_.emplace_back(index, number);
        timeline_.after(readWait, [this, &replica, number] {
            if (std::erase_if(waiting_,
                              [&](const auto &w) {
                                  return w.second == number && replicas_[w.first].get() == &replica;
                              })
                > 0) {
                answer(replica, number);
            }
        });
    });
}

void AgreementWorld::answer(Replica &replica, std::uint64_t number)
{
    // The page holds what the log has now; an answer that is lost leaves a silent connection.
    if (!isReachable(replica) || chance(settings_.loseRead)) {
        return;
    }
    timeline_.after(delay(), [this, &replica, number, end = log_.size()] {
        if (replica.readNumber != number) {
            return;
        }
        takePage(replica, end);
        if (settings_.isNaive) {
            ++replica.readNumber;
            timeline_.after(naivePeriod, [this, &replica] { read(replica); });
        } else {
            read(replica);
        }
    });
}

void AgreementWorld::takePage(Replica &replica, std::size_t end)
{
    replica.lastAnswer = timeline_.now();
    while (replica.next < end) {
        const Offset offset = replica.next++;
        if (settings_.isNaive) {
            applyNaive(replica, offset);
        } else {
            applyPresent(replica, offset);
        }
        noteApplied(log_[offset]);
    }
    for (std::size_t pair = 0; settings_.isNaive && pair < pairs; ++pair) {
        if (replica.naive[2 * pair] != replica.naive[2 * pair + 1]
            && seenHalf_.insert(replica.naiveChange[2 * pair]).second) {
            ++figures_.halfApplied;
        }
    }
}

void AgreementWorld::applyPresent(Replica &replica, Offset offset)
{
    const WorldRecord &record = log_[offset];
    const ControlRecord decoded = decodeControlRecord(record.text).value();
    const std::uint64_t before = replica.state.version;
    const ControlOutcome outcome = apply(replica.state, {offset, record.at, decoded});
    onReadBack(replica.outbox, decoded.header.id);
    ++figures_.checked;
    const PairChange &made = changes_[record.change];
    const bool isGranted = outcome.granted && replica.state.version == before + 1;
    if (isGranted != record.isGranted || replica.state.version != record.version) {
        ++figures_.reverts;
    }
    const std::string first = weightOf(replica.state, 2 * made.pair);
    const std::string second = weightOf(replica.state, 2 * made.pair + 1);
    if (first != second || (record.isGranted && first != made.value)) {
        ++figures_.halfApplied;
    }
}

// A record that takes effect although a change made later is in force brings the older value back.
void AgreementWorld::applyNaive(Replica &replica, Offset offset)
{
    const WorldRecord &record = log_[offset];
    const ControlRecord decoded = decodeControlRecord(record.text).value();
    ++figures_.checked;
    for (const ConfigEdit &edit : std::get<ConfigChange>(decoded.body).edits) {
        for (std::size_t tenant = 0; tenant < 2 * pairs; ++tenant) {
            if (edit.section != "tenant " + tenantName(tenant) || edit.key != "weight") {
                continue;
            }
            replica.naive[tenant] = edit.value.value_or("");
            std::size_t &newest = replica.naiveChange[tenant];
            if (record.change < newest && seenReverted_.insert(offset).second) {
                ++figures_.reverts;
            }
            newest = record.change;
        }
    }
}

void AgreementWorld::noteApplied(WorldRecord &record)
{
    if (++record.applied == replicas_.size() && record.isGranted) {
        const Milliseconds took = timeline_.now() - record.at;
        figures_.inForceSeconds.push_back(static_cast<double>(took.count()) / 1000);
    }
}

double AgreementWorld::secondsToAgree(Milliseconds most)
{
    const TimePoint begin = timeline_.now();
    const auto hasAgreed = [&] {
        return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto &replica) {
            return replica->lastAnswer > begin && replica->next == log_.size();
        });
    };
    while (!hasAgreed() && timeline_.now() - begin < most) {
        runFor(Milliseconds{20});
    }
    return static_cast<double>((timeline_.now() - begin).count()) / 1000;
}

}  // namespace poplarstream::bench
