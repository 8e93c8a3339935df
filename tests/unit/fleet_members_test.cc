/// Control members that keep themselves: founding, growing to the wanted number of voters, lost disks,
/// members at new addresses, and what was acknowledged through all of it.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

/// One member on a thread of its own.
class MemberThread {
 public:
  MemberThread(const Endpoint& internal, const std::vector<Endpoint>& seeds, const std::string& folder,
               bool first_start) {
    control::FleetControlSettings settings;
    settings.name = to_string(internal);
    settings.internal = internal;
    settings.seeds = seeds;
    settings.data_folder = folder;
    settings.first_start = first_start;
    settings.core.target_voters = 3;
    settings.core.entries_per_snapshot = 10;
    settings.core.replica.election_timeout = 200ms;
    settings.core.replica.heartbeat_interval = 40ms;
    settings.holder_lease = 200ms;
    settings.rollout.start_delay = 0ms;
    settings.registry.lost_after = 60s;  // heartbeats come from the test
    server_ = std::make_unique<control::FleetServer>(loop_, settings, orders_);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~MemberThread() {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
  }
  MemberThread(const MemberThread&) = delete;
  MemberThread& operator=(const MemberThread&) = delete;

  bool commit(const control::Command& command) {
    auto result = std::make_shared<std::promise<bool>>();
    auto future = result->get_future();
    loop_.post([this, command, result] {
      server_->commit(command, [result](bool done) { result->set_value(done); });
    });
    return future.get();
  }
  std::optional<std::string> read() {
    auto result = std::make_shared<std::promise<std::optional<std::string>>>();
    auto future = result->get_future();
    loop_.post([this, result] {
      server_->read_configuration(
          [result](const std::optional<std::string>& source) { result->set_value(source); });
    });
    return future.get();
  }
  size_t voters() {
    return test::run_on(loop_, [this] { return server_->voter_count(); });
  }
  void heartbeat(const fleet::BackendRecord& record) {
    test::run_on(loop_, [&] {
      server_->heartbeat(record);
      return true;
    });
  }
  bool leads() {
    return test::run_on(loop_, [this] {
      return server_->metrics().to_text().find("stoat_control_leads 1") != std::string::npos;
    });
  }
  /// How many orders of weights this member has given.
  size_t orders() {
    return test::run_on(loop_, [this] { return orders_.orders.size(); });
  }

 private:
  EventLoop loop_;
  test::NotedOrders orders_;
  std::unique_ptr<control::FleetServer> server_;
  std::thread thread_;
};

class FleetMembersTest : public ::testing::Test {
 protected:
  FleetMembersTest() {
    root_ = std::filesystem::temp_directory_path() / ("stoat-members-" + std::to_string(::getpid()));
    std::filesystem::remove_all(root_);
    for (int i = 0; i < 4; ++i) {
      endpoints_.push_back({"127.0.0.1", test::free_port()});
    }
    // Founding goes by address; on one machine they differ by their last number.
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      endpoints_[i].address = "127.0.0." + std::to_string(i + 1);
    }
    seeds_ = {endpoints_[0], endpoints_[1], endpoints_[2]};
  }
  ~FleetMembersTest() override {
    members_.clear();
    std::filesystem::remove_all(root_);
  }
  std::string folder(size_t position) const { return (root_ / std::to_string(position)).string(); }
  void start(size_t position, bool first_start) {
    members_[position] =
        std::make_unique<MemberThread>(endpoints_[position], seeds_, folder(position), first_start);
  }
  void start_all() {
    for (size_t i = 0; i < 3; ++i) {
      start(i, true);
    }
  }
  static fleet::PutConfiguration put(uint64_t version) {
    fleet::PutConfiguration command;
    command.configuration.version = version;
    command.source = "v" + std::to_string(version);
    return command;
  }
  template <typename Condition>
  static bool eventually(const Condition& condition) {
    for (int tries = 0; tries < 400; ++tries) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
    return false;
  }
  bool commit_somewhere(uint64_t version, size_t position) {
    return eventually([&] { return members_[position]->commit(put(version)); });
  }

  std::filesystem::path root_;
  std::vector<Endpoint> endpoints_;
  std::vector<Endpoint> seeds_;
  std::map<size_t, std::unique_ptr<MemberThread>> members_;
};

TEST_F(FleetMembersTest, FoundsAndAcknowledgesOnlyOnEnoughDisks) {
  start(0, true);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_FALSE(members_[0]->commit(put(1)));  // one voter of three: a lost disk would lose it
  start(1, true);
  start(2, true);
  EXPECT_TRUE(commit_somewhere(1, 2));  // through a follower as well
  EXPECT_EQ(members_[0]->voters(), 3U);
  EXPECT_TRUE(eventually([&] { return members_[1]->read() == std::optional<std::string>("v1"); }));
}

TEST_F(FleetMembersTest, AWriteThatComesWhenTheLeaderHasDiedIsAcknowledgedAtTheFirstAttempt) {
  start_all();
  ASSERT_TRUE(commit_somewhere(1, 0));
  ASSERT_TRUE(eventually([&] { return members_[1]->voters() == 3 && members_[2]->voters() == 3; }));
  for (const size_t position : {0, 1, 2}) {
    if (members_.count(position) == 0 || !members_[position]->leads()) {
      continue;
    }
    members_.erase(position);
    break;
  }
  ASSERT_EQ(members_.size(), 2U);
  // The others have not noticed yet; the call waits for the one that is elected.
  EXPECT_TRUE(members_.begin()->second->commit(put(2)));
  EXPECT_TRUE(members_.rbegin()->second->commit(put(3)));
}

TEST_F(FleetMembersTest, AMemberThatLostItsDiskTakesItsOwnPlaceAgain) {
  start_all();
  ASSERT_TRUE(commit_somewhere(1, 0));
  members_.erase(1);
  std::filesystem::remove_all(folder(1));
  start(1, false);
  ASSERT_TRUE(commit_somewhere(2, 1));
  ASSERT_TRUE(eventually([&] { return members_[1]->voters() == 3; }));
  // Its disk counts again: with the founder gone the other two go on, and know all.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  members_.erase(0);
  EXPECT_TRUE(eventually([&] { return members_[1]->read() == std::optional<std::string>("v2"); }));
  EXPECT_TRUE(commit_somewhere(3, 2));
}

TEST_F(FleetMembersTest, AMemberAtANewAddressReplacesOneThatIsGone) {
  start_all();
  ASSERT_TRUE(commit_somewhere(1, 0));
  members_.erase(2);
  start(3, false);
  ASSERT_TRUE(eventually([&] { return members_[3]->read() == std::optional<std::string>("v1"); }));
  ASSERT_TRUE(eventually([&] { return members_[0]->voters() == 3; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  members_.erase(1);  // a second loss, after the repair
  EXPECT_TRUE(commit_somewhere(2, 3));
}

TEST_F(FleetMembersTest, ABlankFleetThatDoesNotStartForTheFirstTimeFoundsNothing) {
  for (size_t i = 0; i < 3; ++i) {
    start(i, false);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  EXPECT_FALSE(members_[0]->commit(put(1)));
  EXPECT_EQ(members_[0]->read(), std::nullopt);
}

TEST_F(FleetMembersTest, TheNextLeaderOrdersWeightsFromWhatAllMembersKnow) {
  // Found on the large fleets: what the leader knew of engines and of the naming of weights went with it.
  start_all();
  ASSERT_TRUE(commit_somewhere(1, 0));
  fleet::BackendRecord engine;
  engine.id = "e1";
  engine.service = "models";
  engine.address = "127.0.0.1:1";
  engine.sequence = 1;
  engine.models = {{"m", 1}};
  members_[0]->heartbeat(engine);  // the only one, and to one member only
  ASSERT_TRUE(eventually([&] { return members_[0]->commit(fleet::NameWeights{"m", 2}); }));
  const auto leader = [&]() -> std::optional<size_t> {
    for (auto& [position, member] : members_) {
      if (member->orders() > 0) {
        return position;
      }
    }
    return std::nullopt;
  };
  ASSERT_TRUE(eventually([&] { return leader().has_value(); }));
  members_.erase(*leader());
  EXPECT_TRUE(eventually([&] { return leader().has_value(); }));
}

TEST_F(FleetMembersTest, AllThatWasAcknowledgedOutlivesALossOfPowerOfAll) {
  start_all();
  for (uint64_t version = 1; version <= 25; ++version) {
    ASSERT_TRUE(commit_somewhere(version, version % 3));
  }
  members_.clear();
  for (size_t i = 0; i < 3; ++i) {
    start(i, false);
  }
  EXPECT_TRUE(eventually([&] { return members_[2]->read() == std::optional<std::string>("v25"); }));
}

}  // namespace
}  // namespace stoat
