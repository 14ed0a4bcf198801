#include "poplarstream/edge/runtime.hpp"

#include <stdexcept>  // for runtime_error

#include <boost/asio/post.hpp>  // for post
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

// Guards against a process that is ended by an unexpected error in one callback.
TEST(EventLoop, ExceptionEndsOneCallback)
{
    boost::asio::io_context io;
    int failures = 0;
    int completed = 0;
    for (int i = 0; i < 3; ++i) {
        boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
        boost::asio::post(io, [&completed] { ++completed; });
    }
    runEventLoop(io, [&failures] { ++failures; });
    EXPECT_EQ(failures, 3);
    EXPECT_EQ(completed, 3);
}

}  // namespace
}  // namespace poplarstream::edge
