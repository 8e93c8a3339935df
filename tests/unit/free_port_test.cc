/// The ports at which tests listen.
#include <fstream>
#include <set>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

TEST(FreePort, IsNeverOneThatAnOutgoingConnectionMayHave) {
  // Found by the whole CI script beside other processes: between the choice of a port and the server's start,
  // a connection of another process had got it.
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  range >> first;
  ASSERT_GT(first, 0);
  std::set<uint16_t> ports;
  for (int i = 0; i < 20; ++i) {
    const uint16_t port = test::free_port();
    EXPECT_LT(port, first);
    EXPECT_TRUE(ports.insert(port).second) << "given twice";
  }
}

}  // namespace
}  // namespace stoat
