/// Several control members in one process, each with its own thread and data directory.
#pragma once

#include "tests/support/eventually.h"
#include "tests/support/small_fleet.h"

namespace stoat::test {

/// A control member that runs on a thread of its own.
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
    settings.registry.lost_after = 60s;  // engines send no heartbeats here, only the test does
    server_ = std::make_unique<control::FleetServer>(loop_, settings, engine_orders_);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~MemberThread() {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
  }
  MemberThread(const MemberThread&) = delete;
  MemberThread& operator=(const MemberThread&) = delete;

  /// Returns whether the command is known to be durable and applied.
  bool commit(const control::Command& command) {
    auto result = std::make_shared<std::promise<bool>>();
    auto future = result->get_future();
    loop_.post([this, command, result] {
      server_->commit(command, [result](bool done) { result->set_value(done); });
    });
    return future.get();
  }
  /// Returns the operator's document of the newest configuration; nullopt if it can't be confirmed.
  std::optional<std::string> read() {
    auto result = std::make_shared<std::promise<std::optional<std::string>>>();
    auto future = result->get_future();
    loop_.post([this, result] {
      server_->read_configuration(
          [result](const std::optional<std::string>& source) { result->set_value(source); });
    });
    return future.get();
  }
  /// Orders a rollout of service "s" to a version. Returns nullopt if the outcome is unknown.
  std::optional<control::ResultCode> order_rollout(const std::string& version, int64_t duration_ms) {
    auto result = std::make_shared<std::promise<std::optional<control::ResultCode>>>();
    auto future = result->get_future();
    loop_.post([this, version, duration_ms, result] {
      server_->order_rollout({"s", version, duration_ms, 0, {}}, [result](const auto& outcome) {
        result->set_value(outcome ? std::optional(outcome->code) : std::nullopt);
      });
    });
    return future.get();
  }
  /// Returns the last rollout of service "s"; nullopt if there is none or it can't be confirmed.
  std::optional<fleet::ServiceRollout> rollout() {
    auto result = std::make_shared<std::promise<std::optional<fleet::ServiceRollout>>>();
    auto future = result->get_future();
    loop_.post([this, result] {
      server_->read_rollout("s", [result](const auto& rollouts) {
        const bool exists = rollouts && !rollouts->empty();
        result->set_value(exists ? std::optional(rollouts->front()) : std::nullopt);
      });
    });
    return future.get();
  }
  /// Returns whether this member is the leader.
  bool leads() {
    return run_on(loop_, [this] {
      return server_->metrics().to_text().find("stoat_control_leads 1") != std::string::npos;
    });
  }
  size_t voters() {
    return run_on(loop_, [this] { return server_->voter_count(); });
  }
  void heartbeat(const fleet::BackendRecord& record) {
    run_on(loop_, [&] {
      server_->receive_heartbeat(record);
      return true;
    });
  }
  /// Returns the number of weight orders that this member has sent to engines.
  size_t order_count() {
    return run_on(loop_, [this] { return engine_orders_.orders.size(); });
  }

 private:
  EventLoop loop_;
  RecordingEngineOrders engine_orders_;
  std::unique_ptr<control::FleetServer> server_;
  std::thread thread_;
};

/// Test fixture with up to four control members, of which three are to be voters. The first three are the
/// seeds.
class MembersFixture : public ::testing::Test {
 protected:
  MembersFixture() {
    directory_ = std::filesystem::temp_directory_path() / ("stoat-members-" + std::to_string(::getpid()));
    std::filesystem::remove_all(directory_);
    for (int i = 0; i < 4; ++i) {
      endpoints_.push_back({"127.0.0.1", free_port()});
    }
    // Only the first seed bootstraps the fleet, and members recognize it by its address. On one machine, the
    // addresses differ in their last number.
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      endpoints_[i].address = "127.0.0." + std::to_string(i + 1);
    }
    seeds_ = {endpoints_[0], endpoints_[1], endpoints_[2]};
  }
  ~MembersFixture() override {
    members_.clear();
    std::filesystem::remove_all(directory_);
  }
  /// Returns the data directory of a member.
  std::string folder(size_t index) const { return (directory_ / std::to_string(index)).string(); }
  /// `first_start`: the member may bootstrap a new fleet.
  void start(size_t index, bool first_start) {
    members_[index] = std::make_unique<MemberThread>(endpoints_[index], seeds_, folder(index), first_start);
  }
  /// Starts the seeds for the first time.
  void start_all() {
    for (size_t i = 0; i < 3; ++i) {
      start(i, true);
    }
  }
  /// Returns a command that puts a configuration in force. Its document is "v" followed by the version.
  static fleet::PutConfiguration put(uint64_t version) {
    fleet::PutConfiguration command;
    command.configuration.version = version;
    command.source = "v" + std::to_string(version);
    return command;
  }
  /// Retries to commit a configuration through one member. Returns false if that does not succeed in time.
  bool commit_eventually(uint64_t version, size_t index) {
    return eventually([&] { return members_[index]->commit(put(version)); });
  }

  std::filesystem::path directory_;
  std::vector<Endpoint> endpoints_;
  std::vector<Endpoint> seeds_;
  std::map<size_t, std::unique_ptr<MemberThread>> members_;  ///< those that run, by index
};

}  // namespace stoat::test
