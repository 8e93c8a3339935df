// Messages of the feed that a member encodes for its routers.
#include "src/control/feed_publisher.h"

#include <gtest/gtest.h>

#include <set>

#include "src/common/hash.h"

namespace stoat {
namespace {

using control::FeedPosition;
using control::FeedPublisher;
using control::FleetSoftState;

constexpr size_t kBackends = 2000;
constexpr size_t kRouters = 200;
constexpr Duration kRound = 50ms;

fleet::BackendRecord make_record(size_t number, uint64_t sequence = 1) {
  fleet::BackendRecord record;
  record.id = "i-" + to_hex(hash_pair(number, 1)).substr(0, 10);
  record.service = "models";
  record.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8064";
  record.zone = "zone-0";
  record.slots = 12;
  record.sequence = sequence;
  return record;
}

/// What a router knows from its feed.
struct Router {
  FeedPosition position;
  std::set<std::string> backends;
  std::set<std::string> drained;
  size_t full_states = 0;
  bool complete = false;
};

class FeedPublisherTest : public ::testing::Test {
 protected:
  FeedPublisherTest() : soft_state_({"10.0.0.1:7340", "zone-0", {}, {}, 1, TimePoint(0)}) {
    for (size_t number = 0; number < kBackends; ++number) {
      soft_state_.on_heartbeat(make_record(number), now_);
    }
    soft_state_.expire(now_);
  }
  /// Sends a router up to `limit` messages.
  void feed(Router& router, size_t limit) {
    for (size_t count = 0; count < limit; ++count) {
      const control::NextFeedMessage next = publisher_.next(router.position, now_);
      if (next.frame != nullptr) {
        receive(router, *next.frame);
      }
      if (next.complete) {
        return;
      }
    }
  }
  static void receive(Router& router, const wire::Frame& frame) {
    constexpr size_t kLengthBytes = 4;
    const auto message = wire::decode<wire::Message>(frame.bytes.substr(kLengthBytes));
    ASSERT_TRUE(message.has_value());
    const auto& update = std::get<fleet::FleetFeedUpdate>(message->value);
    if (update.starts_full_state) {
      ++router.full_states;
      router.backends.clear();
    }
    for (const fleet::BackendRecord& record : update.backends) {
      router.backends.insert(record.id);
      if (record.state == fleet::BackendState::kDraining) {
        router.drained.insert(record.id);
      }
    }
    for (const std::string& id : update.gone) {
      router.backends.erase(id);
    }
    router.complete = update.complete;
  }
  void next_round() {
    now_ += kRound;
    publisher_.start_round();
  }

  TimePoint now_ = 100s;
  FleetSoftState soft_state_;
  FeedPublisher publisher_{soft_state_};
};

// A member encoded all records anew for each router that began to follow it, and did nothing else for
// seconds.
TEST_F(FeedPublisherTest, RoutersThatBeginTogetherAreSentTheSameEncodedState) {
  std::vector<Router> routers(kRouters);
  uint64_t for_one = 0;
  for (size_t number = 0; number < kRouters; ++number) {
    if (number % 20 == 0) {
      next_round();  // they begin within half a second
    }
    soft_state_.on_heartbeat(make_record(kBackends + number), now_);
    feed(routers[number], SIZE_MAX);
    for_one = number == 0 ? publisher_.encoded_messages() : for_one;
  }
  EXPECT_LT(publisher_.encoded_messages(), 2 * for_one + kRouters);
  next_round();
  for (Router& router : routers) {
    feed(router, SIZE_MAX);
    ASSERT_EQ(router.backends.size(), kBackends + kRouters);
    ASSERT_EQ(router.full_states, 1U);
  }
}

TEST_F(FeedPublisherTest, SlowRouterIsSentAllChangesOfTheTimeThatItReadFor) {
  Router slow;
  Router fast;
  feed(fast, SIZE_MAX);
  for (size_t number = 0; number < kBackends / 20; ++number) {
    next_round();
    soft_state_.retire(make_record(number).id, fleet::BackendState::kDraining);
    feed(slow, 1);
    feed(fast, SIZE_MAX);
  }
  next_round();
  feed(slow, SIZE_MAX);
  EXPECT_TRUE(slow.complete);
  EXPECT_EQ(slow.full_states, 1U);
  EXPECT_EQ(slow.backends, fast.backends);
  EXPECT_EQ(slow.drained.size(), kBackends / 20);
  EXPECT_EQ(fast.drained.size(), kBackends / 20);
}

TEST_F(FeedPublisherTest, RouterThatBeginsLaterIsSentTheStateOfThatTime) {
  Router first;
  feed(first, SIZE_MAX);
  now_ += 10s;
  for (size_t number = 0; number < kBackends; ++number) {
    soft_state_.on_heartbeat(make_record(number, 2), now_);
  }
  soft_state_.on_heartbeat(make_record(kBackends), now_);
  next_round();
  Router later;
  feed(later, SIZE_MAX);
  EXPECT_EQ(later.backends.size(), kBackends + 1);
  EXPECT_EQ(later.full_states, 1U);
}

}  // namespace
}  // namespace stoat
