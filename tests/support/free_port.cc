#include "tests/support/free_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace stoat::test {

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

uint16_t free_port() {
  static PortBlocks blocks(::getpid());
  return blocks.next_free_port();
}

PortBlocks::~PortBlocks() {
  for (const int socket : sockets_) {
    ::close(socket);
  }
}

uint16_t PortBlocks::next_free_port() {
  size_t tried = 0;
  while (true) {
    if (tried == ports_.size()) {
      take_block();
    }
    const uint16_t port = ports_[next_port_];
    next_port_ = (next_port_ + 1) % ports_.size();
    ++tried;
    if (is_free(port)) {
      return port;
    }
  }
}

void PortBlocks::take_block() {
  for (int attempt = 0; attempt < kBlocks; ++attempt) {
    const int first = kFirstPort + next_block_ * kPortsPerBlock;
    next_block_ = (next_block_ + 1) % kBlocks;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!bind_to_port(socket, static_cast<uint16_t>(first))) {
      ::close(socket);
      continue;
    }
    sockets_.push_back(socket);
    next_port_ = ports_.size();
    for (int port = first + 1; port < first + kPortsPerBlock; ++port) {
      ports_.push_back(static_cast<uint16_t>(port));
    }
    return;
  }
  throw std::runtime_error("no free port");
}

}  // namespace stoat::test
