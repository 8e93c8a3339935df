/// Real processes: engines of two software versions, routers that are killed under their streams, and callers
/// that resume these at another router.

#include "tests/process/fleet_process_test.h"
#include "tests/support/raw_client.h"

namespace stoat::tools {
namespace {

class StreamVersionProcessTest : public FleetProcessTest {
 protected:
  static constexpr uint32_t kEngines = 4;
  static constexpr size_t kStreams = 12;

  void SetUp() override {
    options_.routers = 3;
    options_.engines = kEngines;
    options_.engine_software = {"v1", "v2"};
    FleetProcessTest::SetUp();
  }
  std::string head(const std::string& id, const std::string& more) const {
    const LoadTarget target = fleet_->target();
    return "POST /chat/ HTTP/1.1\r\nHost: " + target.host + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer " + target.key + "\r\nX-Model: " + target.model +
           "\r\nX-Prompt-Parts: " + id + ":220\r\nX-Token-Counts: 220,60\r\nContent-Length: 0\r\n" +
           "Connection: close\r\n" + more + "\r\n";
  }
  uint16_t port_of(size_t router) const { return fleet_->target().routers[router].port; }
  /// The engine that signed an answer, by its number; 0 if there is none.
  static size_t engine_of(const std::string& answer) {
    const std::string name = "X-Answer-Signature: engine-";
    const size_t at = answer.find(name);
    return at == std::string::npos ? 0 : std::stoul(answer.substr(at + name.size()));
  }
};

// Streams of killed routers went on at an engine of another version.
TEST_F(StreamVersionProcessTest, StreamsOfKilledRoutersStayAtTheirVersion) {
  std::vector<std::string> firsts(kStreams);
  std::vector<std::unique_ptr<test::RawClient>> callers;
  for (size_t number = 0; number < kStreams; ++number) {
    callers.push_back(std::make_unique<test::RawClient>(port_of(0)));
    callers.back()->send(head("killed" + std::to_string(number), ""));
  }
  for (size_t number = 0; number < kStreams; ++number) {
    firsts[number] = callers[number]->read_until("\n\n");
  }
  processes_->kill("router-1");
  size_t mixed = 0;
  size_t went_on = 0;
  for (size_t number = 0; number < kStreams; ++number) {
    const std::string id = "killed" + std::to_string(number);
    test::RawClient caller(port_of(1 + number % 2));
    caller.send(head(id + "-again", "Last-Event-Id: 0\r\nX-Resumes: " + id + "\r\n"));
    const size_t first = engine_of(firsts[number]);
    const size_t second = engine_of(caller.read_until("\n\n"));
    ASSERT_GT(first, 0U);
    went_on += second > 0 ? 1 : 0;
    mixed += second > 0 && first % 2 != second % 2 ? 1 : 0;
  }
  EXPECT_EQ(mixed, 0U);
  EXPECT_EQ(went_on, kStreams);
}

}  // namespace
}  // namespace stoat::tools
