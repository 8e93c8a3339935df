/// The choice of ports on which servers in tests listen.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <set>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

TEST(FreePort, IsOutsideTheEphemeralPortRange) {
  // Guards against a server that cannot bind its port while other processes run: between the choice of a port
  // and the start of the server, the kernel gave the port to an outgoing connection of another process.
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  range >> first;
  ASSERT_GT(first, 0);
  std::set<uint16_t> ports;
  for (int i = 0; i < 20; ++i) {
    const uint16_t port = test::free_port();
    EXPECT_LT(port, first);
    EXPECT_TRUE(ports.insert(port).second) << "the port was returned twice";
  }
}

// Guards against "Address already in use" when a server listens on a loopback address other than 127.0.0.1.
TEST(FreePort, IsNotInUseOnAnotherLoopbackAddress) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ASSERT_EQ(::inet_pton(AF_INET, "127.0.0.2", &address.sin_addr), 1);
  const uint16_t port = test::free_port();
  address.sin_port = htons(port);
  ASSERT_EQ(::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  ASSERT_EQ(::listen(listener, 1), 0);
  EXPECT_FALSE(test::is_free(port));
  ::close(listener);
  EXPECT_TRUE(test::is_free(port));
}

}  // namespace
}  // namespace stoat
