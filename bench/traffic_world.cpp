#include "traffic_world.hpp"

#include <algorithm>  // for find
#include <cmath>  // for log

namespace poplarstream::bench {

namespace {

// Half of a service time is fixed, the other half is exponential.
Micros drawTime(Random &random, Micros mean)
{
    const double exponential = -std::log(1 - random.unit());
    return static_cast<Micros>(static_cast<double>(mean) * (0.5 + 0.5 * exponential)) + 1;
}

}  // namespace

World::World(WorldSetup setup, const EntryFactory &factory, std::uint64_t seed)
    : setup_(std::move(setup))
    , random_(seed)
    , links_(setup_.entryZones.size())
    , minions_(setup_.settings.minions.size())
    , cut_(setup_.zones.size(), std::vector<bool>(setup_.zones.size(), false))
{
    for (const auto &minion : setup_.settings.minions) {
        const auto found = std::find(setup_.zones.begin(), setup_.zones.end(), minion.zone);
        minionZones_.push_back(static_cast<std::size_t>(found - setup_.zones.begin()));
    }
    for (std::size_t entry = 0; entry < setup_.entryZones.size(); ++entry) {
        entries_.push_back(factory(*this, entry));
    }
}

void World::at(Micros time, std::function<void()> action)
{
    events_.push({time, order_++, std::move(action)});
}

void World::run()
{
    constexpr Micros tickInterval = 10'000;
    const Micros last = setup_.end + 5 * oneSecond;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        // Entry hosts do not tick at the same moment.
        const Micros phase = static_cast<Micros>(entry) * tickInterval / 8;
        for (Micros time = phase; time < last; time += tickInterval) {
            at(time, [this, entry] { entries_[entry].tick(); });
        }
    }
    // Connections are opened before the first requests.
    for (std::size_t kind = 0; kind < setup_.work.size(); ++kind) {
        scheduleArrival(kind, oneSecond);
    }
    while (!events_.empty() && events_.top().time < last) {
        auto &top = const_cast<Event &>(events_.top());
        now_ = top.time;
        const auto action = std::move(top.action);
        events_.pop();
        action();
    }
}

void World::scheduleArrival(std::size_t kind, Micros from)
{
    // Thinning by steps: while the rate is zero, look again a little later.
    Micros time = from;
    while (time < setup_.end) {
        const double rate = setup_.work[kind].rate(time);
        if (rate > 0) {
            time += static_cast<Micros>(-std::log(1 - random_.unit()) / rate * 1e6) + 1;
            break;
        }
        time += 10'000;
    }
    if (time < setup_.end) {
        at(time, [this, kind] { arrive(kind); });
    }
}

void World::arrive(std::size_t kind)
{
    const KindOfWork &work = setup_.work[kind];
    CallerRequest request;
    request.kind = kind;
    request.tenant = work.firstTenant + random_.below(work.tenants);
    request.entry = work.entries.empty() ? random_.below(entries_.size())
                                         : work.entries[random_.below(work.entries.size())];
    request.arrival = now_;
    request.deadline = now_ + work.deadline;
    requests_.push_back(request);
    entries_[request.entry].admit(requests_.size() - 1);
    scheduleArrival(kind, now_);
}

Micros World::oneWay(std::size_t entry, std::size_t minion) const
{
    return setup_.roundTrip[setup_.entryZones[entry]][zoneOf(minion)] / 2;
}

bool World::passes(std::size_t entry, std::uint64_t connection, bool toMinion) const
{
    const auto link = links_[entry].find(connection);
    if (link == links_[entry].end() || link->second.silent) {
        return false;
    }
    const std::size_t here = setup_.entryZones[entry];
    const std::size_t there = zoneOf(link->second.minion);
    return toMinion ? !cut_[here][there] : !cut_[there][here];
}

traffic::LoadReport World::load(std::size_t minion) const
{
    const MinionModel &model = minions_[minion];
    return {model.busy + static_cast<std::uint32_t>(model.waiting.size()),
            setup_.settings.minions[minion].slots, model.leavingSince > 0};
}

void World::open(std::size_t entry, std::uint64_t connection, std::size_t minion)
{
    links_[entry][connection] = Link{minion, false};
    const Micros way = oneWay(entry, minion);
    at(now_ + way, [=, this] {
        if (passes(entry, connection, true)) {
            at(now_ + way, [=, this] {
                if (passes(entry, connection, false)) {
                    entries_[entry].connected(connection);
                }
            });
        }
    });
}

void World::close(std::size_t entry, std::uint64_t connection)
{
    links_[entry].erase(connection);
}

void World::probe(std::size_t entry, std::uint64_t connection)
{
    if (!passes(entry, connection, true)) {
        return;
    }
    const std::size_t minion = links_[entry][connection].minion;
    at(now_ + 2 * oneWay(entry, minion), [=, this] {
        if (passes(entry, connection, false)) {
            entries_[entry].probed(connection, load(minion));
        }
    });
}

void World::send(std::size_t entry, std::uint64_t connection, const std::string &id,
                 std::size_t request)
{
    if (!passes(entry, connection, true)) {
        return;
    }
    const std::size_t minion = links_[entry][connection].minion;
    at(now_ + oneWay(entry, minion), [=, this] {
        MinionModel &model = minions_[minion];
        const Job job{entry, connection, id, request};
        if (model.failing) {
            ++requests_[request].started;
            answer(minion, job, traffic::ResponseKind::Failed);
            return;
        }
        if (model.leavingSince > 0 && now_ >= model.leavingSince + 2 * oneSecond) {
            ++startedWhileLeaving_;
        }
        if (model.busy + model.waiting.size() >= setup_.settings.minions[minion].connections) {
            answer(minion, job, traffic::ResponseKind::Refused);
            return;
        }
        model.waiting.push_back(job);
        startJobs(minion);
    });
}

void World::startJobs(std::size_t minion)
{
    MinionModel &model = minions_[minion];
    while (model.busy < setup_.realSlots[minion] && !model.waiting.empty()) {
        const Job job = model.waiting.front();
        model.waiting.pop_front();
        ++model.busy;
        ++requests_[job.request].started;
        const std::size_t service = setup_.work[requests_[job.request].kind].service;
        const double factor = setup_.slowness.empty() ? 1 : setup_.slowness[minion];
        const auto mean =
                static_cast<Micros>(factor * static_cast<double>(setup_.serviceTime[service]));
        at(now_ + drawTime(random_, mean), [=, this] { endJob(minion, job); });
    }
}

void World::endJob(std::size_t minion, const Job &job)
{
    --minions_[minion].busy;
    startJobs(minion);
    answer(minion, job, traffic::ResponseKind::Ok);
}

void World::answer(std::size_t minion, const Job &job, traffic::ResponseKind kind)
{
    if (!passes(job.entry, job.connection, false)) {
        return;
    }
    const traffic::LoadReport report = load(minion);
    at(now_ + oneWay(job.entry, minion), [=, this] {
        if (links_[job.entry].contains(job.connection)) {
            entries_[job.entry].answered(job.connection, job.id, job.request, kind, report);
        }
    });
}

void World::finish(std::size_t index, Outcome outcome, std::size_t answerOf)
{
    CallerRequest &request = requests_[index];
    ++request.ends;
    request.outcome = outcome;
    request.ended = now_;
    request.wrongAnswer =
            request.wrongAnswer || (outcome == Outcome::Answered && answerOf != index);
}

void World::silenceOpenConnections()
{
    for (auto &links : links_) {
        for (auto &[number, link] : links) {
            link.silent = true;
        }
    }
}

void World::setFailing(std::size_t minion, bool failing)
{
    minions_[minion].failing = failing;
}

void World::setLeaving(std::size_t minion)
{
    minions_[minion].leavingSince = now_;
}

void World::setCut(std::size_t fromZone, std::size_t toZone, bool cut)
{
    cut_[fromZone][toZone] = cut;
}

}  // namespace poplarstream::bench
