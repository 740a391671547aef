#include "upstreams/status_line.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(status_line_test, HasThreeDigitsFrom100To599) {
  EXPECT_EQ(ParseStatusLine("HTTP/1.1 200 OK"), 200);
  EXPECT_EQ(ParseStatusLine("HTTP/1.0 100 Continue"), 100);
  EXPECT_EQ(ParseStatusLine("HTTP/1.1 599"), 599);
  EXPECT_EQ(ParseStatusLine("HTTP/1.1 404 "), 404);
}

// Guards against a status that is none and reaches a caller.
TEST(status_line_test, AnythingElseIsNone) {
  for (const char* line : {"",
                           "HTTP/1.1",
                           "HTTP/1.1 ",
                           "HTTP/1.1 000 X",
                           "HTTP/1.1 099 X",
                           "HTTP/1.1 600 X",
                           "HTTP/1.1 999",
                           "HTTP/1.1 20 X",
                           "HTTP/1.1 2000 X",
                           "HTTP/1.1 0200 X",
                           "HTTP/1.1 +20 X",
                           "HTTP/1.1 -20 X",
                           "HTTP/1.1 2x0",
                           "HTTP/1.1  200 X",
                           "HTTP/1.1\t200 X",
                           "HTTP/2.0 200 X",
                           "HTTP/2 200 X",
                           "HTTP 200 X",
                           "HTTP/1.10 200 X",
                           "http/1.1 200 X",
                           "ICY 200 X",
                           "HTTP/1.1 101 Switching"}) {
    EXPECT_EQ(ParseStatusLine(line), std::nullopt) << line;
  }
}

}  // namespace
}  // namespace anvilridge
