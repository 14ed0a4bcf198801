#pragma once

#include <cstddef>  // for size_t
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream::bench {

// Bytes of TCP payload that a message takes on a connection, from one side. `packets` are the
// segments of at most 1,448 bytes that carry it.
struct WireSize
{
    double bytes = 0;
    double packets = 0;
};

// A call and its answer.
struct CallSize
{
    WireSize sent;
    WireSize received;
};

// The messages as the adapters write them, with all header fields.
WireSize requestSize(const HttpRequest &request, std::string_view host = "127.100.10.10:9000");
WireSize responseSize(const HttpResponse &response);

// An nng message over TCP: 8 bytes of length before the payload.
WireSize peerMessageSize(std::size_t payload);

// A read of a stream by a long poll that brings the records, and the append of one record.
CallSize readCall(std::string_view stream, Offset from, const std::vector<std::string> &records);
CallSize appendCall(std::string_view stream, std::string_view record);

// A poll of a worker with this many running tasks.
CallSize workerPoll(std::size_t tasks);

// The list of this many hosts.
CallSize hostListCall(std::size_t hosts);

// IP and TCP headers of a call whose segments are each answered by one segment without payload:
// 52 bytes a segment (20 IP, 20 TCP, 12 time stamp option).
double headerBytes(const CallSize &call);

}  // namespace poplarstream::bench
