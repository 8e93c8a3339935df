/// Ports for the servers of tests and test fleets, which processes that run at the same time don't share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoat::tools {

/// Returns whether no socket listens on the port on any local IPv4 address.
bool is_free(uint16_t port);

/// A range of ports, in blocks of the same size.
struct PortRange {
  int first_port = 0;
  int blocks = 0;
  int ports_per_block = 0;
};

/// The ranges lie below the one from which the kernel takes ports for outgoing connections (32768 and above):
/// any port in that range may be in use by the time a server listens on it.
inline constexpr PortRange kTestPorts{15000, 125, 40};
inline constexpr PortRange kFleetPorts{20000, 100, 100};

/// Blocks of ports that belong to this object: no other object, of any process, has ports of them. A block is
/// taken by binding a socket to its first port; the other ports are for servers.
class PortBlocks {
 public:
  /// `first_block`: the number of the block to try first. Objects that start with different ones rarely try
  /// the block of another.
  PortBlocks(const PortRange& range, int first_block);
  ~PortBlocks();
  PortBlocks(const PortBlocks&) = delete;
  PortBlocks& operator=(const PortBlocks&) = delete;
  /// Returns a free port that was not returned before. Takes further blocks as they are needed. Throws
  /// std::runtime_error if all blocks are taken.
  uint16_t next_port();

 private:
  void take_block();

  PortRange range_;
  int next_block_;
  int next_port_ = 0;
  int end_of_block_ = 0;      ///< the port behind the block that was taken last
  std::vector<int> sockets_;  ///< each bound to the first port of a block, and not listening
};

}  // namespace stoat::tools
