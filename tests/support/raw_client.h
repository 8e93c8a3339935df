/// A caller that speaks in raw bytes over a blocking socket.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>

namespace stoat::test {

/// One connection to a port of the loopback address.
class RawClient {
 public:
  explicit RawClient(uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~RawClient() { close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  void send(const std::string& bytes) { ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  void close() {
    if (socket_ >= 0) {
      ::close(socket_);
      socket_ = -1;
    }
  }
  /// Reads until the input holds `text`, the other side closes, or the time is up.
  std::string read_until(const std::string& text, std::chrono::milliseconds limit = std::chrono::seconds(5)) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (input_.find(text) == std::string::npos && !closed_ && std::chrono::steady_clock::now() < until) {
      read_some(until);
    }
    return input_;
  }
  /// Reads until the other side closes or the time is up.
  std::string read_all(std::chrono::milliseconds limit = std::chrono::seconds(5)) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!closed_ && std::chrono::steady_clock::now() < until) {
      read_some(until);
    }
    return input_;
  }
  bool closed() const { return closed_; }
  void discard_input() { input_.clear(); }

 private:
  void read_some(std::chrono::steady_clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd waiting{socket_, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(std::max<int64_t>(1, left.count()))) <= 0) {
      return;
    }
    char bytes[4096];
    const ssize_t count = ::recv(socket_, bytes, sizeof(bytes), 0);
    closed_ = count <= 0;
    if (count > 0) {
      input_.append(bytes, static_cast<size_t>(count));
    }
  }

  int socket_;
  bool connected_ = false;
  bool closed_ = false;
  std::string input_;
};

/// How often `text` stands in `whole`.
inline size_t count_occurrences(const std::string& whole, const std::string& text) {
  size_t count = 0;
  for (size_t at = whole.find(text); at != std::string::npos; at = whole.find(text, at + text.size())) {
    ++count;
  }
  return count;
}

}  // namespace stoat::test
