#include "poplarstream/node/platform_duty.hpp"

#include <algorithm>  // for max
#include <map>  // for map

#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {

namespace {

constexpr Milliseconds readRetryDelay{300};
// A long poll without a response fails after readDeadline, and a read on a new connection follows.
// Both together stay below the 9 s within which a configuration has to be in force.
constexpr Milliseconds readWait{4'000};
constexpr Milliseconds readDeadline{5'500};
// A read without long polling gets its response at once, or it is lost.
constexpr Milliseconds promptDeadline{2'000};
constexpr Milliseconds appendDeadline{2'000};
constexpr std::size_t pageRecords = 1'000;
// Two long polls, the host list and the appends in flight.
constexpr std::size_t platformConnections = 16;

PlatformSettings platformSettings(const HttpEndpoint &endpoint, Milliseconds wait,
                                  Milliseconds deadline)
{
    return {.endpoint = endpoint,
            .appendDeadline = appendDeadline,
            .readWait = wait,
            .readDeadline = deadline,
            .pageRecords = pageRecords};
}

// The list of hosts is the slowest kind of evidence, so it may only use a small part of the 2 KB
// per second that an entry host has for control traffic: 4,500 hosts are read every 16.5
// minutes.
Milliseconds minListPeriod(std::size_t hosts)
{
    constexpr std::size_t bytesPerHost = 33;
    constexpr std::size_t bytesPerSecond = 150;
    return Milliseconds{static_cast<std::int64_t>(hosts * bytesPerHost * 1'000 / bytesPerSecond)};
}

}  // namespace

struct PlatformDuty::State : std::enable_shared_from_this<PlatformDuty::State>
{
    // A followed stream. `generation` identifies pages that were requested before a restart.
    struct FollowedStream
    {
        Offset from = 0;
        std::uint64_t generation = 0;
        // The first read does not wait for new records, so that a process is up to date at once
        // even if the stream is idle.
        bool isFirst = true;
    };

    State(DutyThread &dutyThread, const HttpEndpoint &platform,
          std::function<bool(PlatformEvent &&)> onEvent)
        : thread(dutyThread)
        , http(dutyThread.context(), {.connectionsPerEndpoint = platformConnections})
        , client(makePlatformClient(http, platformSettings(platform, readWait, readDeadline)))
        , promptClient(makePlatformClient(
                  http, platformSettings(platform, Milliseconds{0}, promptDeadline)))
        , report(std::move(onEvent))
        , hostsTimer(dutyThread.context())
    {}

    void follow(const std::string &stream, Offset from)
    {
        followedStreams[stream] = {from, ++lastGeneration, true};
        read(stream, lastGeneration);
    }

    void read(const std::string &stream, std::uint64_t generation)
    {
        const auto found = followedStreams.find(stream);
        if (found == followedStreams.end() || found->second.generation != generation) {
            return;
        }
        const TimePoint requestedAt = clock.now();
        const PlatformClient &reader = found->second.isFirst ? promptClient : client;
        reader.read(
                stream, found->second.from,
                [weak = weak_from_this(), stream, generation, requestedAt](Result<LogPage> page) {
                    if (const auto self = weak.lock()) {
                        self->onPage(stream, generation, requestedAt, std::move(page));
                    }
                });
    }

    void onPage(const std::string &stream, std::uint64_t generation, TimePoint requestedAt,
                Result<LogPage> page)
    {
        const auto found = followedStreams.find(stream);
        if (found == followedStreams.end() || found->second.generation != generation) {
            return;
        }
        if (!page) {
            report(StreamError{stream, page.failure().message});
            // A second long poll without a response would exceed the 9 s for a configuration.
            found->second.isFirst = true;
            retryLater(stream, generation);
            return;
        }
        const Offset next = page.value().next;
        const bool isAtEnd = page.value().entries.size() < pageRecords;
        StreamPage event{stream, std::move(page).value(), requestedAt, isAtEnd};
        if (report(std::move(event))) {
            // The receiver may have restarted the stream meanwhile.
            const auto still = followedStreams.find(stream);
            if (still != followedStreams.end() && still->second.generation == generation) {
                still->second.from = next;
                still->second.isFirst = false;
                read(stream, generation);
            }
        } else {
            retryLater(stream, generation);
        }
    }

    void retryLater(const std::string &stream, std::uint64_t generation)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(thread.context());
        timer->expires_after(readRetryDelay);
        timer->async_wait([weak = weak_from_this(), timer, stream,
                           generation](boost::system::error_code error) {
            if (const auto self = weak.lock(); self && !error) {
                self->read(stream, generation);
            }
        });
    }

    void append(const RecordId &record, const std::string &stream, const std::string &text)
    {
        client.append(stream, text, [weak = weak_from_this(), record](AppendOutcome outcome) {
            if (const auto self = weak.lock()) {
                self->report(AppendResponse{record, std::move(outcome)});
            }
        });
    }

    void listHosts(Milliseconds period)
    {
        client.hosts([weak = weak_from_this(), period](Result<std::vector<PlatformHost>> hosts) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            Milliseconds wait = period;
            if (hosts) {
                wait = std::max(period, minListPeriod(hosts.value().size()));
                self->report(HostsListed{std::move(hosts).value()});
            }
            self->hostsTimer.expires_after(wait);
            self->hostsTimer.async_wait([weak, period](boost::system::error_code error) {
                if (const auto state = weak.lock(); state && !error) {
                    state->listHosts(period);
                }
            });
        });
    }

    DutyThread &thread;
    ProcessClock clock;
    HttpClient http;
    PlatformClient client;
    PlatformClient promptClient;
    std::function<bool(PlatformEvent &&)> report;
    boost::asio::steady_timer hostsTimer;
    std::map<std::string, FollowedStream> followedStreams;
    std::uint64_t lastGeneration = 0;
};

PlatformDuty::PlatformDuty(DutyThread &thread, const HttpEndpoint &platform,
                           std::function<bool(PlatformEvent &&)> report)
    : state_(std::make_shared<State>(thread, platform, std::move(report)))
{}

PlatformDuty::~PlatformDuty() = default;

void PlatformDuty::follow(std::string stream, Offset from)
{
    state_->thread.post(
            [state = state_, stream = std::move(stream), from] { state->follow(stream, from); });
}

void PlatformDuty::stopFollowing(std::string stream)
{
    state_->thread.post(
            [state = state_, stream = std::move(stream)] { state->followedStreams.erase(stream); });
}

void PlatformDuty::append(RecordId record, std::string stream, std::string text)
{
    state_->thread.post([state = state_, record = std::move(record), stream = std::move(stream),
                         text = std::move(text)] { state->append(record, stream, text); });
}

void PlatformDuty::listHosts(Milliseconds period)
{
    state_->thread.post([state = state_, period] { state->listHosts(period); });
}

}  // namespace poplarstream
