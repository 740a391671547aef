#include "peer/socket_poller.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "base/testing/run_loop.h"

namespace anvilridge {
namespace {

// Both ends of a connection.
struct socket_pair {
  std::array<int, 2> ends{};

  socket_pair() {
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  }
  ~socket_pair() {
    for (const int end : ends) close(end);
  }
  socket_pair(const socket_pair&) = delete;
  socket_pair& operator=(const socket_pair&) = delete;

  void Send() const { EXPECT_EQ(send(ends[1], "x", 1, 0), 1); }
};

class socket_poller_test : public event_loop_test {
 protected:
  socket_poller poller_;
};

TEST_F(socket_poller_test, ReadableSocketIsToldUntilItIsRead) {
  const socket_pair pair;
  int told = 0;
  poller_.Add(pair.ends[0], [&](socket_readiness ready) {
    EXPECT_TRUE(ready.readable);
    EXPECT_FALSE(ready.writable);
    if (++told < 2) return;
    char byte = 0;
    EXPECT_EQ(recv(pair.ends[0], &byte, 1, 0), 1);
  });
  pair.Send();
  EXPECT_TRUE(RunUntil([&] { return told == 2; }));
  char byte = 0;
  EXPECT_EQ(recv(pair.ends[0], &byte, 1, MSG_DONTWAIT), -1);
}

TEST_F(socket_poller_test, WritableSocketIsToldWhileItIsWatched) {
  const socket_pair pair;
  int told = 0;
  uint64_t token = 0;
  token = poller_.Add(pair.ends[0], [&](socket_readiness ready) {
    EXPECT_TRUE(ready.writable);
    ++told;
    poller_.WatchWritable(token, false);
    pair.Send();
    poller_.Remove(token);
  });
  poller_.WatchWritable(token, true);
  EXPECT_TRUE(RunUntil([&] { return told == 1; }));
}

TEST_F(socket_poller_test, SocketRemovedByAnotherIsNotTold) {
  const socket_pair first;
  const socket_pair second;
  std::array<uint64_t, 2> tokens{};
  int told = 0;
  // Whichever is told first takes the other away.
  tokens[0] = poller_.Add(first.ends[0], [&](socket_readiness) {
    ++told;
    for (const uint64_t token : tokens) poller_.Remove(token);
  });
  tokens[1] = poller_.Add(second.ends[0], [&](socket_readiness) {
    ++told;
    for (const uint64_t token : tokens) poller_.Remove(token);
  });
  first.Send();
  second.Send();
  EXPECT_TRUE(RunUntil([&] { return told > 0; }));
  EXPECT_EQ(told, 1);
}

}  // namespace
}  // namespace anvilridge
