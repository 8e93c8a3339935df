/// Detection of refused connections, which show that a backend's process is gone.
#include <cerrno>

#include "src/dispatch/backend_connection.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

TEST(RefusedConnection, IsDetectedDespiteAnUnrelatedErrno) {
  EventLoop loop;
  bool refused = false;
  std::shared_ptr<dispatch::BackendConnection> connection;
  loop.after(0ms, [&] {
    connection = dispatch::BackendConnection::connect(loop, {"127.0.0.1", test::free_port()},
                                                      [&](dispatch::BackendConnection* lost) {
                                                        refused = lost->refused();
                                                        loop.stop();
                                                      });
    errno = EAGAIN;  // as left by a read on another connection
  });
  loop.after(2s, [&] { loop.stop(); });
  loop.run();
  ASSERT_NE(connection, nullptr);
  EXPECT_TRUE(refused);
}

}  // namespace
}  // namespace stoat
