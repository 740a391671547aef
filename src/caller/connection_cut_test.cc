#include "caller/connection_cut.h"

#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::string GetWithId(absl::string_view target, absl::string_view id) {
  return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: a\r\nX-Id: ", id,
                      "\r\n\r\n");
}

TEST_F(caller_port_thread_test, ReportsAnAnswerThatIsGivenUp) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(GetWithId("/break", "r1"));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(cuts_.Text(), "answering aborted r1\n");
  ASSERT_EQ(cuts_.Get().size(), 1u);
  const connection_cut cut = cuts_.Get().front();
  EXPECT_EQ(cut.bytes, GetWithId("/break", "r1").size());
  EXPECT_TRUE(absl::StartsWith(cut.caller, "127.0.0.1:")) << cut.caller;
}

TEST_F(caller_port_thread_test, ReportsReadersThatAreCutOff) {
  limits_.max_unsent_bytes = 64 << 10;
  Start();
  raw_caller caller(port_->Port());
  caller.Socket().setReadBufferSize(1024);
  caller.Send(GetWithId("/pour", "r2"));
  EXPECT_TRUE(WaitFor([this] { return seen_.closed == 1; }));
  EXPECT_EQ(cuts_.Text(), "answering slow_reader r2\n");
}

TEST_F(caller_port_thread_test, ReportsRequestsThatTheClosedPortLeavesOpen) {
  Start();
  raw_caller answering(port_->Port());
  answering.Send(GetWithId("/hold", "r3"));
  EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  raw_caller receiving(port_->Port());
  receiving.Send(
      "POST / HTTP/1.1\r\nHost: a\r\nX-Id: r4\r\nContent-Length: "
      "9\r\n\r\nhalf");
  EXPECT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 2; }));
  raw_caller idle(port_->Port());
  EXPECT_TRUE(WaitFor([this] { return port_->Connections() == 3; }));
  port_.reset();
  const std::string text = cuts_.Text();
  EXPECT_TRUE(absl::StrContains(text, "answering port_closed r3\n")) << text;
  EXPECT_TRUE(absl::StrContains(text, "receiving port_closed r4\n")) << text;
  EXPECT_EQ(cuts_.Get().size(), 2u) << text;
}

TEST_F(caller_port_thread_test, ReportsNoCallersThatLeave) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(GetWithId("/hold", "r5"));
  EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  caller.Socket().abort();
  EXPECT_TRUE(WaitFor([this] { return port_->Connections() == 0; }));
  port_.reset();
  EXPECT_EQ(cuts_.Text(), "");
}

}  // namespace
}  // namespace anvilridge
