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

TEST(CodecTest, TooDeeplyNestedListsAndMapsAreRejected) {
  const std::string list_of_one = "\x91";
  const std::string map_of_one = "\x81\x01";  // of the number 1 to a value
  for (const std::string& level : {list_of_one, map_of_one, list_of_one + map_of_one}) {
    std::string bytes;
    for (size_t count = 0; count < 100000; ++count) {
      bytes += level;
    }
    const auto message = decode<Message>(bytes);
    ASSERT_FALSE(message.has_value());
    EXPECT_NE(message.error().message.find("depth"), std::string::npos) << message.error().message;
  }
}

}  // namespace
}  // namespace stoat::wire
