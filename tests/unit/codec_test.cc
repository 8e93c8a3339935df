// Decoding of malformed messages.
#include <gtest/gtest.h>

#include "src/wire/messages.h"

namespace stoat::wire {
namespace {

TEST(CodecTest, AListThatClaimsMoreElementsThanBytesIsRejectedBeforeAllocation) {
  const std::string bytes("\xdd\xda\x8a\xff\x72\x9f\xa4", 7);
  const auto message = decode<Message>(bytes);
  ASSERT_FALSE(message.has_value());
  EXPECT_NE(message.error().message.find("array size overflow"), std::string::npos)
      << message.error().message;
}

TEST(CodecTest, TooDeeplyNestedListsAreRejected) {
  const auto message = decode<Message>(std::string(100000, '\x91'));
  ASSERT_FALSE(message.has_value());
  EXPECT_NE(message.error().message.find("depth"), std::string::npos) << message.error().message;
}

}  // namespace
}  // namespace stoat::wire
