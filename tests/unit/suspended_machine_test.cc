/// A machine that was suspended: the steady clock does not count that time, only the clock since the boot
/// does.
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

#include "tests/support/small_fleet.h"

namespace {

/// For how long this process's machine has been suspended, in seconds.
std::atomic<time_t> suspended_s{0};

}  // namespace

/// Takes the place of the library's function, which the programs call.
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

/// Longer than routers may honour keys without a confirmation.
constexpr time_t kLongSuspension = 60;

class SuspendedMachineTest : public test::SmallFleet {
 protected:
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
  void TearDown() override { suspended_s = 0; }
};

TEST_F(SuspendedMachineTest, KeysAreNotHonouredOnALeaseThatEndedMeanwhile) {
  standins::ScriptedEngine engine([](const standins::SeenRequest& seen) { return test::succeed(seen); });
  add_engine("engine", "calls", engine);
  EXPECT_EQ(status_of(ask("GET", "/safe/", "before")), "HTTP/1.1 200");
  freeze_control();
  suspended_s = kLongSuspension;
  EXPECT_EQ(status_of(ask("GET", "/safe/", "after")), "HTTP/1.1 503");
  EXPECT_EQ(engine.requests().size(), 1U);
}

TEST(ClockOfThePrograms, CountsTheTimeInWhichTheMachineWasSuspended) {
  const TimePoint before = monotonic_now();
  suspended_s = kLongSuspension;
  EXPECT_GE(monotonic_now() - before, std::chrono::seconds(kLongSuspension));
  suspended_s = 0;
}

}  // namespace
}  // namespace stoat
