#pragma once

#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/adapters/http_server.hpp"  // for HttpRespond
#include "poplarstream/edge/ports.hpp"  // for StoredRecord
#include "poplarstream/engine/state.hpp"  // for QueueId, JobId

namespace poplarstream::edge {

// A request of an entry host to the owner of a shard.
struct PeerRequest
{
    enum class Kind { State, Count, Store, Loans };

    Kind kind = Kind::State;
    int shard = 0;  // whose owner is meant
    jobs::QueueId queue;
    jobs::JobId job;
    AccountId account;  // of the caller; empty on a public queue
    std::vector<StoredRecord> records;  // for Store: to be appended to the job log
    std::string loans;  // for Loans: the text of accounts::LoanRequest
};

struct PeerResponse
{
    enum class Kind {
        State,
        UnknownJob,
        Count,
        Stored,
        NotStored,  // nothing was written
        NotOwner,  // not the owner, or the owner is still loading: retry
        NoResponse,
        Loans,  // entry hosts of earlier versions know the numbers of those above
    };

    Kind kind = Kind::NoResponse;
    jobs::JobState state = jobs::JobState::Queued;
    int count = 0;
    std::string loans;  // for Loans: the text of accounts::LoanResponse
    bool isAnswered = false;  // the other entry host has responded, whatever it said; not sent
};

// Sends a request to the owner of its shard and calls the function once, after that time at the
// latest.
using SendToOwner = std::function<void(const PeerRequest &, Milliseconds deadline,
                                       std::function<void(PeerResponse)>)>;

// Sends a request to the entry host at `address`. Calls `done` once.
void sendToPeer(HttpClient &client, const HttpEndpoint &address, const PeerRequest &request,
                Milliseconds deadline, std::function<void(PeerResponse)> done);

// The peer request in an HTTP request on the control address; empty if it is malformed.
std::optional<PeerRequest> peerRequestFrom(const HttpRequest &request);

HttpResponse responseFor(const PeerResponse &response);

}  // namespace poplarstream::edge
