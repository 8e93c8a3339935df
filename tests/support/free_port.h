/// Ports on which servers in tests listen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoat::test {

/// Returns whether no socket listens on the port on any local IPv4 address.
bool is_free(uint16_t port);

/// Returns a port on which no socket listens on any local IPv4 address, from the blocks of this process.
/// Throws std::runtime_error if there is none.
uint16_t free_port();

/// Blocks of ports, each of which belongs to one process at a time. A process owns a block while a socket of
/// it is bound to the first port of the block; the other ports are for servers.
class PortBlocks {
 public:
  /// All blocks lie below the range from which the kernel takes ports for outgoing connections (32768 and
  /// above): any port in that range may be in use by the time a server listens on it. They also lie below the
  /// ports of tools::ProcessFleet.
  static constexpr int kFirstPort = 15000;
  static constexpr int kPortsPerBlock = 40;
  static constexpr int kBlocks = 125;

  /// `first_block`: the number of the block to try first. Processes that start with different ones rarely try
  /// the block of another.
  explicit PortBlocks(int first_block) : next_block_(first_block % kBlocks) {}
  ~PortBlocks();
  PortBlocks(const PortBlocks&) = delete;
  PortBlocks& operator=(const PortBlocks&) = delete;
  /// Returns a free port from a block of this process. Takes a further block if there is none. Throws
  /// std::runtime_error if other processes own all further blocks.
  uint16_t next_free_port();

 private:
  void take_block();

  std::vector<int> sockets_;     ///< each bound to the first port of a block, and not listening
  std::vector<uint16_t> ports_;  ///< the other ports of these blocks
  size_t next_port_ = 0;         ///< index into ports_
  int next_block_;
};

}  // namespace stoat::test
