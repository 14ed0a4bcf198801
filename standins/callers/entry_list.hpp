#pragma once

#include <functional>  // for function
#include <vector>  // for vector

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient, HttpEndpoint

namespace poplarstream::standins {

// Round-robin selection of entry hosts, as by a load balancer. An entry host that is not ready, or
// that refused the last connection, is skipped until it is ready again.
class EntryList
{
public:
    // `operators` are the addresses that answer `GET /ready`, in the order of `entries`; without
    // them every entry host counts as ready.
    EntryList(boost::asio::io_context &io, HttpClient &client, std::vector<HttpEndpoint> entries,
              std::vector<HttpEndpoint> operators);

    // The next ready entry host, or the next one in turn if none is ready.
    HttpEndpoint next();
    void markRefused(const HttpEndpoint &entry);

    // Checks the readiness of all entry hosts now and every second until stop().
    void startReadinessChecks();
    void stop() { isStopped_ = true; }

private:
    boost::asio::io_context &io_;
    HttpClient &client_;
    std::vector<HttpEndpoint> entries_;
    std::vector<HttpEndpoint> operators_;
    std::vector<bool> isReady_;
    std::size_t lastIndex_ = 0;
    bool isStopped_ = false;
};

}  // namespace poplarstream::standins
