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

// What one entry host asks of the owner.
struct PeerRequest
{
    enum class Kind { State, Count, Store };

    Kind kind = Kind::State;
    jobs::QueueId queue;
    jobs::JobId job;
    std::vector<StoredRecord> records;  // to be written to the job log
};

struct PeerResponse
{
    enum class Kind {
        State,
        UnknownJob,
        Count,
        Stored,
        NotStored,  // nothing was written
        NotOwner,  // or not ready: ask again
        NoResponse,
    };

    Kind kind = Kind::NoResponse;
    jobs::JobState state = jobs::JobState::Queued;
    int count = 0;
};

// Asks the entry host at `address`. Calls `done` once.
void sendToPeer(HttpClient &client, const HttpEndpoint &address, const PeerRequest &question,
                Milliseconds deadline, std::function<void(PeerResponse)> done);

// The question in a request on the control address, or nothing.
std::optional<PeerRequest> peerRequestFrom(const HttpRequest &request);

HttpResponse responseFor(const PeerResponse &reply);

}  // namespace poplarstream::edge
