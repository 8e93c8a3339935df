/// Control members in one process, each on a thread and with a folder of its own.
#pragma once

#include "tests/support/small_fleet.h"

namespace stoat::test {

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
  /// Orders the move of service "s" to a version; nullopt: what became of it is not known.
  std::optional<control::ResultCode> order_rollout(const std::string& version, int64_t duration_ms) {
    auto result = std::make_shared<std::promise<std::optional<control::ResultCode>>>();
    auto future = result->get_future();
    loop_.post([this, version, duration_ms, result] {
      server_->order_rollout({"s", version, duration_ms, 0, {}}, [result](const auto& taken) {
        result->set_value(taken ? std::optional(taken->code) : std::nullopt);
      });
    });
    return future.get();
  }
  /// The rollout of service "s", confirmed; nullopt: there is none, or it can't be confirmed.
  std::optional<fleet::ServiceRollout> rollout() {
    auto result = std::make_shared<std::promise<std::optional<fleet::ServiceRollout>>>();
    auto future = result->get_future();
    loop_.post([this, result] {
      server_->read_rollout("s", [result](const auto& found) {
        const bool known = found && !found->empty();
        result->set_value(known ? std::optional(found->front()) : std::nullopt);
      });
    });
    return future.get();
  }
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
      server_->heartbeat(record);
      return true;
    });
  }
  /// How many orders of weights this member has given.
  size_t orders() {
    return run_on(loop_, [this] { return orders_.orders.size(); });
  }

 private:
  EventLoop loop_;
  RecordingEngineOrders orders_;
  std::unique_ptr<control::FleetServer> server_;
  std::thread thread_;
};

/// Up to four members; three of them are wanted as voters.
class MembersFixture : public ::testing::Test {
 protected:
  MembersFixture() {
    root_ = std::filesystem::temp_directory_path() / ("stoat-members-" + std::to_string(::getpid()));
    std::filesystem::remove_all(root_);
    for (int i = 0; i < 4; ++i) {
      endpoints_.push_back({"127.0.0.1", free_port()});
    }
    // Founding goes by address; on one machine they differ by their last number.
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      endpoints_[i].address = "127.0.0." + std::to_string(i + 1);
    }
    seeds_ = {endpoints_[0], endpoints_[1], endpoints_[2]};
  }
  ~MembersFixture() override {
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
  bool commit_eventually(uint64_t version, size_t position) {
    return eventually([&] { return members_[position]->commit(put(version)); });
  }

  std::filesystem::path root_;
  std::vector<Endpoint> endpoints_;
  std::vector<Endpoint> seeds_;
  std::map<size_t, std::unique_ptr<MemberThread>> members_;
};

}  // namespace stoat::test
