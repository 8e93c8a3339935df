/// Ports on which servers in tests listen.
#pragma once

#include <unistd.h>

#include <vector>

#include "tools/port_blocks.h"

namespace stoat::test {

/// Number of ports that a process has before free_port() returns one for the second time.
inline constexpr size_t kPortsBeforeReuse = 39;

/// Returns a port on which no socket listens on any local IPv4 address, and which no other process gets from
/// this function. Throws std::runtime_error if there is none.
inline uint16_t free_port() {
  static tools::PortBlocks blocks(tools::kTestPorts, ::getpid());
  static std::vector<uint16_t> ports;
  static size_t next = 0;
  if (ports.size() >= kPortsBeforeReuse) {
    for (size_t tried = 0; tried < ports.size(); ++tried) {
      const uint16_t port = ports[next++ % ports.size()];
      if (tools::is_free(port)) {
        return port;
      }
    }
  }
  ports.push_back(blocks.next_port());
  return ports.back();
}

}  // namespace stoat::test
