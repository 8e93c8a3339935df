/// Connections that a back end's machine refuses: the sign that its process is gone.
#include <cerrno>

#include "src/dispatch/engine_connection.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

TEST(RefusedConnection, IsKnownForOneWhateverElseFailedMeanwhile) {
  EventLoop loop;
  bool refused = false;
  std::shared_ptr<dispatch::EngineConnection> connection;
  loop.after(0ms, [&] {
    connection = dispatch::EngineConnection::connect(loop, {"127.0.0.1", test::free_port()},
                                                     [&](dispatch::EngineConnection* lost) {
                                                       refused = lost->refused();
                                                       loop.stop();
                                                     });
    errno = EAGAIN;  // as after a read of another connection
  });
  loop.after(2s, [&] { loop.stop(); });
  loop.run();
  ASSERT_NE(connection, nullptr);
  EXPECT_TRUE(refused);
}

}  // namespace
}  // namespace stoat
