/// What is recorded about requests that were in flight at backends when those crashed.
#include "src/admission/crash_history.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "src/common/random.h"

namespace stoat {
namespace {

using admission::CrashHistory;
using admission::RequestStanding;

constexpr uint64_t kRequest = 7;

/// Returns a CrashHistory with `crashes` crashes of kRequest, one second apart, starting at 1 s.
CrashHistory history_with_crashes(uint32_t crashes) {
  CrashHistory history;
  for (uint32_t number = 1; number <= crashes; ++number) {
    history.note_crash(kRequest, "b" + std::to_string(number), std::chrono::seconds(number));
  }
  return history;
}

TEST(CrashHistory, RequestIsSuspectAfterSecondCrashAndQuarantinedAfterThird) {
  EXPECT_EQ(history_with_crashes(1).standing(kRequest, 4s).standing, RequestStanding::kClear);
  EXPECT_EQ(history_with_crashes(2).standing(kRequest, 4s).standing, RequestStanding::kSuspect);
  EXPECT_EQ(history_with_crashes(3).standing(kRequest, 4s).standing, RequestStanding::kQuarantined);
  EXPECT_EQ(history_with_crashes(3).standing(kRequest, 4s).left, 119s);
  EXPECT_EQ(history_with_crashes(3).standing(kRequest, 200s).standing,
            RequestStanding::kSuspect);  // it may be tried once
  EXPECT_EQ(history_with_crashes(4).standing(kRequest, 5s).left, 239s);
}

TEST(CrashHistory, CrashReportedByManyRoutersCountsOnce) {
  CrashHistory history;
  for (int router = 0; router < 5; ++router) {
    history.note_crash(kRequest, "b1", 1s);
    history.merge({kRequest, {{"b1", 300, false, false}}}, 2s);
  }
  EXPECT_EQ(history.crashes(kRequest, 5s), 1U);
}

TEST(CrashHistory, OneSuccessfulCompletionClearsAllCrashes) {
  CrashHistory history = history_with_crashes(3);
  EXPECT_TRUE(history.clear_crashes(kRequest, 4s));
  EXPECT_EQ(history.standing(kRequest, 4s).standing, RequestStanding::kClear);
  EXPECT_FALSE(history.clear_crashes(kRequest, 4s));
}

TEST(CrashHistory, LateRecordDoesNotUndoClearedCrashes) {
  CrashHistory history = history_with_crashes(3);
  const fleet::CrashRecord before = history.record(kRequest, 4s);
  history.clear_crashes(kRequest, 4s);
  EXPECT_FALSE(history.merge(before, 5s));
  EXPECT_EQ(history.crashes(kRequest, 5s), 0U);
}

TEST(CrashHistory, MergingConvergesForAnyRecordOrder) {
  Random random(5);
  for (int round = 0; round < 200; ++round) {
    std::vector<fleet::CrashRecord> records;
    for (int number = 0; number < 6; ++number) {
      const std::string backend = "b" + std::to_string(random.below(4));
      records.push_back({kRequest, {{backend, 1000, random.below(4) == 0, random.below(2) == 0}}});
    }
    CrashHistory forwards;
    CrashHistory backwards;
    for (size_t position = 0; position < records.size(); ++position) {
      forwards.merge(records[position], 10s);
      backwards.merge(records[records.size() - 1 - position], 10s);
    }
    EXPECT_EQ(forwards.all(10s), backwards.all(10s));
  }
}

// Guards against sending a request to more backends while its crashes are still unconfirmed.
TEST(CrashHistory, BrokenExchangesCountAsCrashesUntilTheOutcomeIsKnown) {
  CrashHistory history;
  for (const char* backend : {"b1", "b2", "b3"}) {
    EXPECT_TRUE(history.note_broken_exchange(kRequest, backend, 1s));
  }
  EXPECT_EQ(history.standing(kRequest, 2s).standing, RequestStanding::kQuarantined);
  EXPECT_EQ(history.standing(kRequest, 2s).left, admission::kUnconfirmedCrashTimeout - 1s);
  EXPECT_EQ(history.standing(kRequest, 1s + admission::kUnconfirmedCrashTimeout).standing,
            RequestStanding::kClear);
  EXPECT_TRUE(history.note_survival(kRequest, "b3", 2s));
  EXPECT_EQ(history.standing(kRequest, 2s).standing, RequestStanding::kSuspect);
  EXPECT_FALSE(history.note_broken_exchange(kRequest, "b3", 2s))
      << "a late broken exchange must not override a known survival";
  EXPECT_TRUE(history.note_crash(kRequest, "b3", 3s)) << "a confirmed crash overrides survival";
  EXPECT_TRUE(history.note_crash(kRequest, "b1", 3s));
  EXPECT_TRUE(history.note_crash(kRequest, "b2", 3s));
  EXPECT_GT(history.standing(kRequest, 4s).left, 100s);
}

TEST(CrashHistory, ManyOtherRequestsDoNotEvictASuspect) {
  CrashHistory history = history_with_crashes(2);
  for (uint64_t other = 100; other < 40000; ++other) {
    history.note_crash(other, "elsewhere", 3s);
  }
  EXPECT_EQ(history.crashes(kRequest, 5s), 2U);
  EXPECT_LE(history.size(), 8192U);
}

/// A service of 12 backends runs requests of 300 ms each, 40 at a time, while one backend after another is
/// killed. A request that breaks off is sent again, three times at most.
TEST(CrashHistory, FewRequestsAreQuarantinedWhenBackendsAreKilledExternally) {
  constexpr uint32_t kBackends = 12;
  constexpr Duration kRunDuration = 300ms;
  constexpr Duration kKillInterval = 500ms;  // each backend is killed every 6 s
  constexpr uint32_t kMaxSends = 4;
  Random random(11);
  CrashHistory history;
  uint32_t quarantined = 0;
  constexpr uint32_t kRequests = 100000;
  for (uint64_t request = 0; request < kRequests; ++request) {
    const TimePoint begin = Duration(static_cast<int64_t>(request) * 7500);
    TimePoint sent = begin;
    for (uint32_t send = 0; send < kMaxSends; ++send) {
      if (history.standing(request, sent).standing == RequestStanding::kQuarantined) {
        ++quarantined;
        break;
      }
      const uint64_t backend = random.below(kBackends);
      const auto next_kill = static_cast<uint64_t>(sent / kKillInterval + 1);
      const TimePoint killed = static_cast<int64_t>(next_kill) * kKillInterval;
      if (next_kill % kBackends != backend || killed > sent + kRunDuration) {
        history.clear_crashes(request, sent);
        break;
      }
      history.note_crash(request, std::to_string(backend) + "@" + std::to_string(next_kill), killed);
      sent = killed + Duration(static_cast<int64_t>(random.below(400000)));
    }
  }
  EXPECT_LT(quarantined, kRequests / 1000);
  RecordProperty("quarantined", static_cast<int>(quarantined));
}

constexpr uint64_t kPart = kRequest | fleet::kPartFeature;

TEST(CrashHistory, PartIsQuarantinedForLongerFromEachCrashOn) {
  CrashHistory history;
  const std::vector<std::pair<RequestStanding, Duration>> expected = {{RequestStanding::kClear, 0s},
                                                                      {RequestStanding::kSuspect, 0s},
                                                                      {RequestStanding::kQuarantined, 3s},
                                                                      {RequestStanding::kQuarantined, 6s},
                                                                      {RequestStanding::kQuarantined, 120s}};
  for (size_t crash = 0; crash < expected.size(); ++crash) {
    const TimePoint now = std::chrono::seconds(20 * (crash + 1));
    history.note_crash(kPart, "b" + std::to_string(crash), now);
    EXPECT_EQ(history.standing(kPart, now).standing, expected[crash].first) << crash;
    EXPECT_EQ(history.standing(kPart, now).left, expected[crash].second) << crash;
  }
}

// Guards against refusing what a sound part is in because many backends lost power at once.
TEST(CrashHistory, PartIsNoSuspectAfterManyBackendsCrashAtOnce) {
  CrashHistory history;
  for (int backend = 0; backend < 8; ++backend) {
    history.note_crash(kPart, "b" + std::to_string(backend), 1s + backend * 30ms);
  }
  EXPECT_EQ(history.standing(kPart, 2s).standing, RequestStanding::kClear);
}

TEST(CrashHistory, BrokenExchangeWithoutACrashSaysNothingOfAPart) {
  CrashHistory history;
  for (int backend = 0; backend < 8; ++backend) {
    history.note_broken_exchange(kPart, "b" + std::to_string(backend), 1s * (backend + 1));
  }
  EXPECT_EQ(history.standing(kPart, 9s).standing, RequestStanding::kClear);
}

TEST(CrashHistory, FewSharedPartsAreQuarantinedWhenBackendsAreKilledExternally) {
  constexpr uint64_t kBackends = 12;
  constexpr Duration kRunDuration = 300ms;
  constexpr Duration kKillInterval = 500ms;  // each backend is killed every 6 s
  constexpr uint64_t kParts = 200;           // the first ones are in most requests
  constexpr Duration kRequestInterval = 10ms;
  Random random(11);
  CrashHistory history;
  uint64_t quarantined = 0;
  constexpr uint64_t kRequests = 60000;
  for (uint64_t request = 0; request < kRequests; ++request) {
    const TimePoint sent = static_cast<int64_t>(request) * kRequestInterval;
    const uint64_t drawn = 1 + random.below(kParts);
    const uint64_t part = (1 + random.below(drawn)) | fleet::kPartFeature;
    if (history.standing(part, sent).standing == RequestStanding::kQuarantined) {
      ++quarantined;
      continue;
    }
    const uint64_t backend = random.below(kBackends);
    const auto next_kill = static_cast<uint64_t>(sent / kKillInterval + 1);
    const TimePoint killed = static_cast<int64_t>(next_kill) * kKillInterval;
    if (next_kill % kBackends != backend || killed > sent + kRunDuration) {
      history.clear_crashes(part, sent);
    } else {
      history.note_crash(part, std::to_string(backend) + "@" + std::to_string(next_kill), killed);
    }
  }
  EXPECT_LT(quarantined, kRequests / 1000);
  RecordProperty("quarantined", static_cast<int>(quarantined));
}

}  // namespace
}  // namespace stoat
