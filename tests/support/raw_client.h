/// A test client that sends and receives raw bytes over a blocking socket.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>

namespace stoat::test {

/// A connection to a port on the loopback address 127.0.0.1.
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
  /// Reads until the input contains `text`, the peer closes the connection, or the timeout expires. Returns
  /// all input that has not been discarded.
  std::string read_until(const std::string& text,
                         std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (input_.find(text) == std::string::npos && !closed_ &&
           std::chrono::steady_clock::now() < deadline) {
      read_some(deadline);
    }
    return input_;
  }
  /// Reads until the peer closes the connection or the timeout expires. Returns the same as read_until().
  std::string read_all(std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!closed_ && std::chrono::steady_clock::now() < deadline) {
      read_some(deadline);
    }
    return input_;
  }
  /// Returns whether the peer closed the connection, or reading from it failed.
  bool closed() const { return closed_; }
  void discard_input() { input_.clear(); }

 private:
  void read_some(std::chrono::steady_clock::time_point deadline) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd poll_entry{socket_, POLLIN, 0};
    if (::poll(&poll_entry, 1, static_cast<int>(std::max<int64_t>(1, remaining.count()))) <= 0) {
      return;
    }
    char buffer[4096];
    const ssize_t count = ::recv(socket_, buffer, sizeof(buffer), 0);
    closed_ = count <= 0;
    if (count > 0) {
      input_.append(buffer, static_cast<size_t>(count));
    }
  }

  int socket_;
  bool connected_ = false;
  bool closed_ = false;
  std::string input_;
};

/// Counts the non-overlapping occurrences of `pattern` in `content`.
inline size_t count_occurrences(const std::string& content, const std::string& pattern) {
  size_t count = 0;
  for (size_t position = content.find(pattern); position != std::string::npos;
       position = content.find(pattern, position + pattern.size())) {
    ++count;
  }
  return count;
}

}  // namespace stoat::test
