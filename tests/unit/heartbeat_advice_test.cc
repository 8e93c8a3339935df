/// The advice that a member gives to backends before and after it is cut off from the other member.
#include "tests/support/eventually.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using test::eventually;

/// Two members, each on its own thread; neither has a quorum alone.
class HeartbeatAdviceTest : public ::testing::Test {
 protected:
  struct RunningMember {
    EventLoop loop;
    test::RecordingEngineOrders orders;
    std::unique_ptr<control::FleetServer> server;
    std::thread thread;
    RunningMember(const Endpoint& internal, const std::vector<Endpoint>& seeds, const std::string& folder) {
      control::FleetControlSettings settings;
      settings.name = to_string(internal);
      settings.zone = "z1";
      settings.internal = internal;
      settings.seeds = seeds;
      settings.data_folder = folder;
      settings.first_start = true;
      settings.core.target_voters = 2;
      settings.core.replica.election_timeout = 200ms;
      settings.core.replica.heartbeat_interval = 40ms;
      server = std::make_unique<control::FleetServer>(loop, settings, orders);
      thread = std::thread([this] { loop.run(); });
    }
    ~RunningMember() {
      loop.post([this] { loop.stop(); });
      thread.join();
    }
    RunningMember(const RunningMember&) = delete;
    RunningMember& operator=(const RunningMember&) = delete;
  };
  HeartbeatAdviceTest() {
    root_ = std::filesystem::temp_directory_path() / ("stoat-advice-" + std::to_string(::getpid()));
    std::filesystem::remove_all(root_);
    const std::vector<Endpoint> endpoints = {{"127.0.0.1", test::free_port()},
                                             {"127.0.0.2", test::free_port()}};
    for (size_t position = 0; position < endpoints.size(); ++position) {
      members_.push_back(std::make_unique<RunningMember>(endpoints[position], endpoints,
                                                         (root_ / std::to_string(position)).string()));
    }
  }
  ~HeartbeatAdviceTest() override {
    members_.clear();
    std::filesystem::remove_all(root_);
  }
  control::HeartbeatAdvice send_heartbeat(size_t member) {
    fleet::BackendRecord record;
    record.id = "e1";
    record.zone = "z1";
    record.address = "127.0.0.1:9";
    record.sequence = ++sequence_;
    return test::run_on(members_[member]->loop,
                        [&] { return members_[member]->server->receive_heartbeat(record); });
  }

  std::filesystem::path root_;
  std::vector<std::unique_ptr<RunningMember>> members_;
  uint64_t sequence_ = 0;
};

TEST_F(HeartbeatAdviceTest, NearestMemberKeepsABackendUntilItIsCutOff) {
  const auto voters = [this](size_t member) {
    return test::run_on(members_[member]->loop, [&] { return members_[member]->server->voter_count(); });
  };
  ASSERT_TRUE(eventually([&] { return voters(0) == 2 && voters(1) == 2; }));
  // Exactly one of the two members in the backend's zone keeps it.
  const auto advises_to_stay = [this](size_t member) {
    return send_heartbeat(member) == control::HeartbeatAdvice::kStayHere;
  };
  ASSERT_TRUE(eventually([&] { return advises_to_stay(0) != advises_to_stay(1); }));
  const size_t home = advises_to_stay(0) ? 0 : 1;
  members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(1 - home));
  // Without the other member no leader can be confirmed, and heartbeats received here reach nobody else.
  EXPECT_TRUE(eventually([this] { return send_heartbeat(0) == control::HeartbeatAdvice::kMoveAway; }));
}

}  // namespace
}  // namespace stoat
