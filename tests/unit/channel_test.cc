// Channels whose peer stops reading or becomes unreachable without closing the connection.
#include "src/wire/channel.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stoat::wire {
namespace {

/// A listening socket that never reads from its connections, and accepts them only on request.
class SilentListener {
 public:
  SilentListener() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    EXPECT_EQ(::listen(socket_, 1), 0);
    socklen_t length = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~SilentListener() { ::close(socket_); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;
  const Endpoint& endpoint() const { return endpoint_; }
  /// Accepts a connection and sets its receive timeout. Returns its socket, or -1 on failure.
  int accept_connection(std::chrono::seconds receive_timeout) const {
    const int accepted = ::accept(socket_, nullptr, nullptr);
    const timeval timeout{receive_timeout.count(), 0};
    setsockopt(accepted, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    return accepted;
  }

 private:
  int socket_;
  Endpoint endpoint_;
};

constexpr size_t kMessageBytes = 64 << 10;

fleet::ConfirmedReadResponse large_message() {
  fleet::ConfirmedReadResponse message;
  message.source = std::string(kMessageBytes, 'x');
  return message;
}

TEST(ChannelTest, AChannelToASilentPeerIsClosedInsteadOfGrowingWithoutBound) {
  const SilentListener peer;
  EventLoop loop;
  bool closed = false;
  const auto channel = Channel::connect(
      loop, peer.endpoint(), [](const std::shared_ptr<Channel>&, const Message&) {},
      [&](const std::shared_ptr<Channel>&) {
        closed = true;
        loop.stop();
      });
  constexpr size_t kMaxMessages = 2000;  // 128 MB, far more than kMaxUnsentBytes
  size_t max_unsent = 0;
  size_t sent = 0;
  loop.every(1ms, [&] {
    for (size_t burst = 0; burst < 20; ++burst) {
      channel->send(large_message());
      max_unsent = std::max(max_unsent, channel->unsent_bytes());
    }
    sent += 20;
    if (sent >= kMaxMessages) {
      loop.stop();
    }
  });
  loop.run();
  EXPECT_TRUE(closed);
  EXPECT_LE(max_unsent, kMaxUnsentBytes + 2 * kMessageBytes);
  channel->close();
}

// Guards against a closed channel's socket staying open when the event loop does not run again.
TEST(ChannelTest, ClosingAChannelWithAPendingCallbackClosesItsSocketWithoutRunningTheLoop) {
  const SilentListener listener;
  int peer = -1;
  {
    EventLoop loop;
    const auto channel = Channel::connect(
        loop, listener.endpoint(), [](const std::shared_ptr<Channel>&, const Message&) {},
        [](const std::shared_ptr<Channel>&) {});
    loop.after(50ms, [&] { loop.stop(); });
    loop.run();
    peer = listener.accept_connection(1s);
    ASSERT_GE(peer, 0);
    while (channel->unsent_bytes() <= kMaxUnsentBytes) {
      channel->send(large_message());
    }
    channel->send(large_message());  // exceeds the limit and schedules a deferred error callback
    channel->close();
  }
  ssize_t received = 0;
  std::vector<char> bytes(kMessageBytes);
  do {
    received = ::recv(peer, bytes.data(), bytes.size(), 0);
  } while (received > 0);
  const bool timed_out = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  EXPECT_FALSE(timed_out) << "the peer's connection is still open";
  ::close(peer);
}

// A message that only later builds know must not close the connection between the two.
TEST(ChannelTest, AMessageOfUnknownTypeIsCountedAndTheNextOneIsRead) {
  const SilentListener peer;
  EventLoop loop;
  std::vector<uint32_t> unreadable_tags;
  uint64_t received = 0;
  const auto channel = Channel::connect(
      loop, peer.endpoint(),
      [&](const std::shared_ptr<Channel>&, const Message& message) {
        received = std::get<fleet::ConfirmationRequest>(message.value).number;
        loop.stop();
      },
      [&](const std::shared_ptr<Channel>&) { loop.stop(); });
  channel->set_unreadable_handler([&](const Channel&, const UnreadableMessage& message) {
    unreadable_tags.push_back(message.tag.value_or(0));
  });
  const int accepted = peer.accept_connection(std::chrono::seconds(1));
  const std::string unknown("\x00\x00\x00\x04\x92\x63\x91\x01", 8);  // tag 99
  const std::string frames = unknown + make_frame(fleet::ConfirmationRequest{5}).bytes;
  ASSERT_EQ(::send(accepted, frames.data(), frames.size(), 0), static_cast<ssize_t>(frames.size()));
  loop.after(std::chrono::seconds(5), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(unreadable_tags, std::vector<uint32_t>{99});
  EXPECT_EQ(received, 5U);
  EXPECT_TRUE(channel->open());
  channel->close();
  ::close(accepted);
}

}  // namespace
}  // namespace stoat::wire
