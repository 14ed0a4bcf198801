#include "poplarstream/node/peers_duty.hpp"

#include <condition_variable>  // for condition_variable
#include <mutex>  // for mutex

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/fleet/snapshot.hpp"  // for encodeState
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {
namespace {

// The control duty of one process: responds to calls and queries, and stores views and states.
class FakeControl
{
public:
    bool handle(ControlInput &&input)
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

    void addResponse(HttpResponse response)
    {
        const std::lock_guard lock(mutex_);
        responses_.push_back(std::move(response));
        changed_.notify_all();
    }

    // Waits until the condition holds; it is checked after each input.
    template <class Condition>
    bool waitUntil(Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return condition(view_, states_, responses_); });
    }

    FleetState fleet;
    RunsState runs;
    int refusedViews = 0;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    PeerView view_;
    std::vector<PeerState> states_;
    std::vector<HttpResponse> responses_;
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
               [this](ControlInput &&input) { return control.handle(std::move(input)); })
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

RunSubmission submission(FakeControl &control, Milliseconds responseTimeout)
{
    const TimePoint now = ProcessClock().now();
    return {.service = ServiceId("s"),
            .tenant = AccountId("t"),
            .idempotencyKey = "k",
            .payload = "payload",
            .deadline = now + Milliseconds{60'000},
            .respondBy = now + responseTimeout,
            .reply = [&control](HttpResponse response) {
                control.addResponse(std::move(response));
            }};
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
        return a.control.waitUntil([count](const PeerView &view, const auto &, const auto &) {
            return view.zoneLive.size() == count && view.zones.size() == 2;
        });
    }

    Process a{"a"};
    Process b{"b"};
};

// Guards against peers that do not discover each other, a view that is lost because the mailbox was
// full, a state that another process cannot read, and a leaving process that stays in the view.
TEST_F(PeersDutyPair, StateAndLeavingMark)
{
    b.control.fleet.next = 7;
    ASSERT_TRUE(hasPeers(2));
    a.duty.requestState("control");
    ASSERT_TRUE(a.control.waitUntil(
            [](const auto &, const auto &states, const auto &) { return states.size() == 1; }));
    EXPECT_TRUE(a.control.waitUntil([this](const auto &, const auto &states, const auto &) {
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

// Guards against new work for the minions of a leaving rack, which are more than fit into one
// heartbeat, from an entry host that has not seen their leaving marks: it has to stop within 2 s.
TEST_F(PeersDutyPair, RackLeaves)
{
    ASSERT_TRUE(hasPeers(2));
    a.duty.setSubjects(exampleSubjects());
    b.duty.setSubjects(exampleSubjects());
    constexpr std::uint32_t minions = 12;
    const TimePoint begin = a.clock.now();
    for (std::uint32_t i = 0; i < minions; ++i) {
        b.duty.recordMinionEvidence(
                {.minion = minionId({0x7f000001U + i, 7'000}), .isLeaving = true});
    }
    EXPECT_TRUE(a.control.waitUntil([](const PeerView &view, const auto &, const auto &) {
        return view.leavingMinions.size() == minions;
    }));
    EXPECT_LE((a.clock.now() - begin).count(), 2'000);
}

// Guards against a caller that gets no response, or the verdict "not run" for a run that may have
// been accepted.
TEST_F(PeersDutyPair, ForwardsCalls)
{
    const auto hasResponse = [this](std::size_t count, unsigned status, std::string_view verdict) {
        return a.control.waitUntil([&](const auto &, const auto &, const auto &responses) {
            return responses.size() == count && responses.back().status == status
                   && headerValue(responses.back().headers, "Poplar-Verdict") == verdict;
        });
    };
    a.duty.forward(EntryHostId("b"), submission(a.control, Milliseconds{10'000}));
    EXPECT_TRUE(hasResponse(1, 202, "not-run"));
    {
        SCOPED_TRACE("a call that was forwarded too often is not sent");
        RunSubmission looping = submission(a.control, Milliseconds{10'000});
        looping.hops = maxRunCallHops;
        a.duty.forward(EntryHostId("b"), std::move(looping));
        EXPECT_TRUE(hasResponse(2, 503, "not-run"));
    }
    {
        SCOPED_TRACE("without a reply, the run may have been accepted");
        const Address unusedAddress{a.address.ip, 1};
        a.duty.setPeers({{EntryHostId("c"), {ZoneId("z"), unusedAddress}}});
        a.duty.forward(EntryHostId("c"), submission(a.control, Milliseconds{50}));
        EXPECT_TRUE(hasResponse(3, 503, "may-have-run"));
    }
    {
        SCOPED_TRACE("a call to an unknown peer is not sent");
        a.duty.forward(EntryHostId("x"), submission(a.control, Milliseconds{10'000}));
        EXPECT_TRUE(hasResponse(4, 503, "not-run"));
    }
}

}  // namespace
}  // namespace poplarstream
