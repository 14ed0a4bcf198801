#include "poplarstream/node/peers_duty.hpp"

#include <condition_variable>  // for condition_variable
#include <mutex>  // for mutex

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/fleet/snapshot.hpp"  // for encodeState
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {
namespace {

// Stands for the control duty of one process: answers calls and questions, keeps what it is told.
class FakeControl
{
public:
    bool take(ControlInput &&input)
    {
        if (auto *call = std::get_if<RunCall>(&input)) {
            auto &submission = std::get<RunSubmission>(*call);
            submission.reply({202, {{"Poplar-Verdict", "not-run"}}, submission.payload});
            return true;
        }
        if (const auto *question = std::get_if<ControlQuery>(&input)) {
            (*question)({.fleet = fleet, .runs = runs, .peers = {}, .isReady = true});
            return true;
        }
        const std::lock_guard lock(mutex_);
        if (auto *view = std::get_if<PeerView>(&input)) {
            if (refusedViews > 0) {
                --refusedViews;
                return false;
            }
            view_ = std::move(*view);
        } else if (auto *state = std::get_if<PeerState>(&input)) {
            states_.push_back(std::move(*state));
        }
        changed_.notify_all();
        return true;
    }

    void answer(HttpResponse response)
    {
        const std::lock_guard lock(mutex_);
        answers_.push_back(std::move(response));
        changed_.notify_all();
    }

    // Whether the condition comes to hold; it is checked after each input.
    template <class Condition>
    bool reaches(Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return condition(view_, states_, answers_); });
    }

    FleetState fleet;
    RunsState runs;
    int refusedViews = 0;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    PeerView view_;
    std::vector<PeerState> states_;
    std::vector<HttpResponse> answers_;
};

// One process with a control duty and a peers duty, in zone z.
struct Process
{
    explicit Process(const std::string &id)
        : duty(thread,
               {.self = EntryHostId(id),
                .zone = ZoneId("z"),
                .incarnation = 1,
                .listen = {0x7f000001U, 0},
                .peers = {}},
               [this](ControlInput &&input) { return control.take(std::move(input)); })
    {
        address = duty.listen().value();
    }
    ~Process() { thread.stop(); }

    FakeControl control;
    ProcessClock clock;
    DutyThread thread{"peers"};
    PeersDuty duty;
    Address address;
};

RunSubmission submission(FakeControl &control, Milliseconds answerWithin)
{
    const TimePoint now = ProcessClock().now();
    return {.service = ServiceId("s"),
            .tenant = TenantId("t"),
            .idempotencyKey = "k",
            .payload = "payload",
            .deadline = now + Milliseconds{60'000},
            .answerBy = now + answerWithin,
            .reply = [&control](HttpResponse response) { control.answer(std::move(response)); }};
}

struct PeersDutyPair : testing::Test
{
    PeersDutyPair()
    {
        a.duty.setPeers({{EntryHostId("b"), {ZoneId("z"), b.address}}});
        b.duty.setPeers({{EntryHostId("a"), {ZoneId("z"), a.address}}});
        a.control.refusedViews = 2;
        a.thread.start();
        b.thread.start();
    }

    bool hasPeers(std::size_t count)
    {
        return a.control.reaches([count](const PeerView &view, const auto &, const auto &) {
            return view.zoneLive.size() == count && view.zones.size() == 2;
        });
    }

    Process a{"a"};
    Process b{"b"};
};

// Guards against peers that do not find each other, a view that is lost in a full mailbox, a state
// that another process cannot read, and duties that stay with a leaving process.
TEST_F(PeersDutyPair, StateAndLeavingMark)
{
    b.control.fleet.next = 7;
    ASSERT_TRUE(hasPeers(2));
    a.duty.askState("control");
    ASSERT_TRUE(a.control.reaches(
            [](const auto &, const auto &states, const auto &) { return states.size() == 1; }));
    EXPECT_TRUE(a.control.reaches([this](const auto &, const auto &states, const auto &) {
        return states[0].stream == "control" && states[0].text == encodeState(b.control.fleet);
    }));
    b.duty.setLeaving();
    EXPECT_TRUE(hasPeers(1));
}

// A service whose 36 minions are on one host each.
std::shared_ptr<const ServingView> exampleSubjects()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->services.set({.id = ServiceId("s")});
    configuration->pools.set({.id = PoolId("p"), .services = {ServiceId("s")}});
    std::vector<ServingHost> hosts;
    for (std::uint32_t i = 0; i < 36; ++i) {
        configuration->hosts.set({.id = HostId("h" + std::to_string(i)),
                                  .pool = PoolId("p"),
                                  .minions = {{0x7f000001U + i, 7'000}}});
    }
    for (const HostConfig &host : configuration->hosts) {
        hosts.push_back({&host, host.pool, true});
    }
    return std::make_shared<const ServingView>(
            makeServingView(1, configuration, hosts, EntryHostId("e"), ZoneId("z"), 1));
}

// Guards against new work for the minions of a leaving rack, which are more than one heartbeat
// names, at an entry host that has not seen their marks: they get none within 2 s.
TEST_F(PeersDutyPair, RackLeaves)
{
    ASSERT_TRUE(hasPeers(2));
    a.duty.setSubjects(exampleSubjects());
    b.duty.setSubjects(exampleSubjects());
    constexpr std::uint32_t minions = 12;
    const TimePoint begin = a.clock.now();
    for (std::uint32_t i = 0; i < minions; ++i) {
        b.duty.note({.minion = minionId({0x7f000001U + i, 7'000}), .isLeaving = true});
    }
    EXPECT_TRUE(a.control.reaches([](const PeerView &view, const auto &, const auto &) {
        return view.leavingMinions.size() == minions;
    }));
    EXPECT_LE((a.clock.now() - begin).count(), 2'000);
}

// Guards against a caller without an answer, or with the verdict "not run" for a run that may have
// been accepted.
TEST_F(PeersDutyPair, ForwardsCalls)
{
    const auto isAnswered = [this](std::size_t count, unsigned status, std::string_view verdict) {
        return a.control.reaches([&](const auto &, const auto &, const auto &answers) {
            return answers.size() == count && answers.back().status == status
                   && headerValue(answers.back().headers, "Poplar-Verdict") == verdict;
        });
    };
    a.duty.forward(EntryHostId("b"), submission(a.control, Milliseconds{10'000}));
    EXPECT_TRUE(isAnswered(1, 202, "not-run"));
    {
        SCOPED_TRACE("when the call was passed on too often, then it is not sent");
        RunSubmission circling = submission(a.control, Milliseconds{10'000});
        circling.hops = maxRunCallHops;
        a.duty.forward(EntryHostId("b"), std::move(circling));
        EXPECT_TRUE(isAnswered(2, 503, "not-run"));
    }
    {
        SCOPED_TRACE("when nobody answers, then the run may have been accepted");
        const Address nobody{a.address.ip, 1};
        a.duty.setPeers({{EntryHostId("c"), {ZoneId("z"), nobody}}});
        a.duty.forward(EntryHostId("c"), submission(a.control, Milliseconds{50}));
        EXPECT_TRUE(isAnswered(3, 503, "may-have-run"));
    }
    {
        SCOPED_TRACE("when the peer is not known, then the call was not sent");
        a.duty.forward(EntryHostId("x"), submission(a.control, Milliseconds{10'000}));
        EXPECT_TRUE(isAnswered(4, 503, "not-run"));
    }
}

}  // namespace
}  // namespace poplarstream
