#pragma once

#include <functional>  // for function
#include <vector>  // for vector

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient, HttpEndpoint

namespace poplarstream::standins {

// The entry hosts behind the load balancer, used in turn. An entry host that is not ready, or whose
// connection was refused at the last attempt, is left out until it is ready again.
class EntryList
{
public:
    // `operators` are the addresses that answer `GET /ready`, in the order of `entries`; without
    // them every entry host counts as ready.
    EntryList(boost::asio::io_context &io, HttpClient &client, std::vector<HttpEndpoint> entries,
              std::vector<HttpEndpoint> operators);

    // The next entry host; any if none is ready.
    HttpEndpoint next();
    void markRefused(const HttpEndpoint &entry);

    // Asks all entry hosts for their readiness, now and every second until stop().
    void watch();
    void stop() { isStopped_ = true; }

private:
    boost::asio::io_context &io_;
    HttpClient &client_;
    std::vector<HttpEndpoint> entries_;
    std::vector<HttpEndpoint> operators_;
    std::vector<bool> isReady_;
    std::size_t last_ = 0;
    bool isStopped_ = false;
};

}  // namespace poplarstream::standins
