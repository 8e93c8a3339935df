// Channels between processes whose other side is cut off in silence.
#include "src/wire/channel.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stoat::wire {
namespace {

/// A listening socket whose owner never takes or reads anything.
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

 private:
  int socket_;
  Endpoint endpoint_;
};

constexpr size_t kPieceBytes = 64 << 10;

fleet::ConfirmedReadAnswer large_piece() {
  fleet::ConfirmedReadAnswer piece;
  piece.source = std::string(kPieceBytes, 'x');
  return piece;
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
  constexpr size_t kPieces = 2000;  // 128 MB
  size_t most_unsent = 0;
  size_t sent = 0;
  loop.every(1ms, [&] {
    for (size_t burst = 0; burst < 20; ++burst) {
      channel->send(large_piece());
      most_unsent = std::max(most_unsent, channel->unsent_bytes());
    }
    sent += 20;
    if (sent >= kPieces) {
      loop.stop();
    }
  });
  loop.run();
  EXPECT_TRUE(closed);
  EXPECT_LE(most_unsent, kMaxUnsentBytes + 2 * kPieceBytes);
  channel->close();
}

}  // namespace
}  // namespace stoat::wire
