#pragma once

#include <array>  // for array
#include <chrono>  // for seconds
#include <memory>  // for shared_ptr, enable_shared_from_this
#include <string>  // for string
#include <vector>  // for vector

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/ip/tcp.hpp>  // for tcp::socket, tcp::acceptor
#include <boost/asio/write.hpp>  // for write

namespace poplarstream {

// Runs handlers until `done()` holds. Returns false after five seconds without any event; only a
// failing test waits that long.
template <class Predicate>
bool runUntil(boost::asio::io_context &io, Predicate done)
{
    while (!done()) {
        io.restart();
        if (io.run_one_for(std::chrono::seconds{5}) == 0) {
            return done();
        }
    }
    return true;
}

// One end of a connection that sends arbitrary bytes and collects what it receives.
struct RawPeer : std::enable_shared_from_this<RawPeer>
{
    explicit RawPeer(boost::asio::ip::tcp::socket connected)
        : socket(std::move(connected))
    {}

    static std::shared_ptr<RawPeer> connect(boost::asio::io_context &io, std::uint16_t port)
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        auto peer = std::make_shared<RawPeer>(std::move(socket));
        peer->receive();
        return peer;
    }

    // Errors are ignored: the other end may have closed already.
    void send(std::string_view text)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(text), ignored);
    }

    void endSending()
    {
        boost::system::error_code ignored;
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void receive()
    {
        socket.async_read_some(
                boost::asio::buffer(buffer),
                [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
                    self->received.append(self->buffer.data(), count);
                    if (error) {
                        self->isClosed = true;
                        self->isReset = error == boost::asio::error::connection_reset;
                    } else {
                        self->receive();
                    }
                });
    }

    bool has(std::string_view text) const { return received.find(text) != std::string::npos; }

    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool isClosed = false;
    bool isReset = false;  // closed by a TCP reset
};

// A server whose responses are written byte by byte by the test.
struct RawServer
{
    explicit RawServer(boost::asio::io_context &io)
        : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept(
                [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                    if (!error) {
                        peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
                        peers.back()->receive();
                        accept();
                    }
                });
    }

    std::uint16_t port() const { return acceptor.local_endpoint().port(); }

    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<RawPeer>> peers;
};

}  // namespace poplarstream
