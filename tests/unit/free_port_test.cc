/// The choice of ports on which servers in tests listen.
#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "tools/process_fleet.h"

namespace stoat {
namespace {

/// Returns a socket that listens on the port, or -1 if another socket does.
int listen_on(const char* address_text, uint16_t port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (::inet_pton(AF_INET, address_text, &address.sin_addr) == 1 &&
      ::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      ::listen(listener, 1) == 0) {
    return listener;
  }
  ::close(listener);
  return -1;
}

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
  const uint16_t port = test::free_port();
  const int listener = listen_on("127.0.0.2", port);
  ASSERT_GE(listener, 0);
  EXPECT_FALSE(tools::is_free(port));
  ::close(listener);
  EXPECT_TRUE(tools::is_free(port));
}

// Guards against "no free port" when a process needs more ports than a block has.
TEST(FreePort, IsFoundWhenABlockIsInUse) {
  std::vector<int> listeners;
  for (int i = 0; i < 2 * tools::kTestPorts.ports_per_block; ++i) {
    listeners.push_back(listen_on("127.0.0.1", test::free_port()));
    EXPECT_GE(listeners.back(), 0);
  }
  for (const int listener : listeners) {
    ::close(listener);
  }
}

// Guards against two processes that choose the same port before either listens on it.
TEST(FreePort, IsNotGivenToTwoProcesses) {
  tools::PortBlocks one(tools::kTestPorts, ::getpid());
  tools::PortBlocks other(tools::kTestPorts, ::getpid());
  std::set<uint16_t> ports;
  for (int i = 0; i < tools::kTestPorts.ports_per_block; ++i) {
    EXPECT_TRUE(ports.insert(one.next_port()).second);
    EXPECT_TRUE(ports.insert(other.next_port()).second);
  }
}

// Guards against a process that can't listen again after a restart, since another fleet has got its port.
TEST(FreePort, IsNotGivenToTwoFleets) {
  const std::string folder = testing::TempDir() + "/stoat-ports-" + std::to_string(::getpid());
  tools::ProcessFleet one("", folder);
  tools::ProcessFleet other("", folder);
  std::set<uint16_t> ports;
  for (int i = 0; i < tools::kFleetPorts.ports_per_block; ++i) {
    EXPECT_TRUE(ports.insert(one.free_endpoint().port).second);
    EXPECT_TRUE(ports.insert(other.free_endpoint().port).second);
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace stoat
