#include "tools/port_blocks.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace stoat::tools {

namespace {

bool bind_to_port(int socket, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  address.sin_port = htons(port);
  return ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

}  // namespace

bool is_free(uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool free = bind_to_port(socket, port);
  ::close(socket);
  return free;
}

PortBlocks::PortBlocks(const PortRange& range, int first_block)
    : range_(range), next_block_(first_block % range.blocks) {}

PortBlocks::~PortBlocks() {
  for (const int socket : sockets_) {
    ::close(socket);
  }
}

uint16_t PortBlocks::next_port() {
  while (true) {
    if (next_port_ == end_of_block_) {
      take_block();
    }
    const auto port = static_cast<uint16_t>(next_port_++);
    if (is_free(port)) {
      return port;
    }
  }
}

void PortBlocks::take_block() {
  for (int attempt = 0; attempt < range_.blocks; ++attempt) {
    const int first = range_.first_port + next_block_ * range_.ports_per_block;
    next_block_ = (next_block_ + 1) % range_.blocks;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind_to_port(socket, static_cast<uint16_t>(first))) {
      sockets_.push_back(socket);
      next_port_ = first + 1;
      end_of_block_ = first + range_.ports_per_block;
      return;
    }
    ::close(socket);
  }
  throw std::runtime_error("no free port");
}

}  // namespace stoat::tools
