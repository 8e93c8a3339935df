/// A suspended machine: the monotonic clock does not count the time of a suspension, only the boot-time clock
/// does.
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

#include "tests/support/small_fleet.h"

namespace {

/// How long this process's machine appears to have been suspended, in seconds.
std::atomic<time_t> suspended_s{0};

}  // namespace

/// Replaces the library function that the programs call.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  if (clock == CLOCK_BOOTTIME) {
    time->tv_sec += suspended_s;
  }
  return result;
}

namespace stoat {
namespace {

using test::status_of;

/// Longer than routers may accept keys without a confirmation.
constexpr time_t kLongSuspension = 60;

class SuspendedMachineTest : public test::SmallFleet {
 protected:
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
  void TearDown() override { suspended_s = 0; }
};

TEST_F(SuspendedMachineTest, KeysAreRejectedAfterTheLeaseEndsDuringASuspension) {
  standins::ScriptedEngine engine([](const standins::ReceivedRequest& seen) { return test::succeed(seen); });
  add_engine("engine", "calls", engine);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "before")), "HTTP/1.1 200");
  freeze_control();
  suspended_s = kLongSuspension;
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "after")), "HTTP/1.1 503");
  EXPECT_EQ(engine.requests().size(), 1U);
}

TEST(MonotonicClock, CountsTheTimeSpentSuspended) {
  const TimePoint before = monotonic_now();
  suspended_s = kLongSuspension;
  EXPECT_GE(monotonic_now() - before, std::chrono::seconds(kLongSuspension));
  suspended_s = 0;
}

}  // namespace
}  // namespace stoat
