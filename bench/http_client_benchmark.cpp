#include <sys/resource.h>  // for getrusage

#include <optional>  // for optional
#include <thread>  // for thread

#include <benchmark/benchmark.h>  // for State, BENCHMARK
#include <boost/asio/executor_work_guard.hpp>  // for make_work_guard
#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/post.hpp>  // for post

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer

namespace poplarstream::bench {
namespace {

constexpr int callsInFlight = 64;
constexpr int callsPerRound = 20'000;

double threadSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// A server in a thread of its own, whose processor time does not count.
class BackgroundServer
{
public:
    BackgroundServer()
    {
        Result<HttpServer> server = HttpServer::listen(
                io_, {"127.0.0.1", 0}, [](const HttpRequest &, const HttpRespond &done) {
                    done(jsonResponse(200, R"({"clockMs":482113})"));
                });
        server_.emplace(std::move(server).value());
        thread_ = std::thread([this] { io_.run(); });
    }
    BackgroundServer(const BackgroundServer &) = delete;
    BackgroundServer &operator=(const BackgroundServer &) = delete;
    ~BackgroundServer()
    {
        boost::asio::post(io_, [this] { io_.stop(); });
        thread_.join();
    }

    HttpEndpoint endpoint() const { return {"127.0.0.1", server_->port()}; }

private:
    boost::asio::io_context io_;
    std::optional<HttpServer> server_;
    std::thread thread_;
};

// Keeps a number of calls in flight until `left` calls have ended.
struct Caller
{
    boost::asio::io_context &io;
    HttpClient &client;
    HttpEndpoint endpoint;
    int left = 0;

    void send()
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/command";
        request.headers = {{"Content-Type", "application/json"}, {"X-Target", "worker-17"}};
        request.body = std::string(180, 'b');
        client.send(endpoint, std::move(request), {Milliseconds{300}, {}},
                    [this](const HttpOutcome &outcome) {
                        if (outcome.delivery != HttpDelivery::Answered) {
                            std::abort();
                        }
                        if (--left >= callsInFlight) {
                            send();
                        } else if (left == 0) {
                            io.stop();
                        }
                    });
    }
};

// Processor time of one call on an open connection, at the side that calls.
void call(benchmark::State &state)
{
    BackgroundServer server;
    boost::asio::io_context io(1);
    HttpClientLimits limits;
    limits.connectionsPerEndpoint = callsInFlight;
    HttpClient client(io, limits);
    for (auto _ : state) {
        Caller caller{io, client, server.endpoint(), callsPerRound};
        const double before = threadSeconds();
        for (int i = 0; i < callsInFlight; ++i) {
            caller.send();
        }
        io.restart();
        io.run();
        state.SetIterationTime((threadSeconds() - before) / callsPerRound);
    }
}

BENCHMARK(call)->UseManualTime()->Iterations(20)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace poplarstream::bench
