/// A node's connection to the control members: polls for configuration and routers, keeps the last accepted
/// ones on disk, and makes calls that find the leader.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/common/log.h"
#include "src/common/random.h"
#include "src/control/configuration_follower.h"
#include "src/http/event_loop.h"
#include "src/storage/file_system.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// Settings of a control client.
struct ControlClientOptions {
  std::vector<Endpoint> members;
  std::string data_folder;
  Duration poll_interval = 1s;
  Duration answer_timeout = 1s;      ///< after which another member is asked
  Duration call_deadline = 3s;       ///< after which a call is given up
  Duration finish_deadline = 30s;    ///< the same for calls whose loss would only leave a claim open
  int64_t max_quorum_age_ms = 3000;  ///< a member that was confirmed longer ago is left
  Duration peers_after = 2s;  ///< without a fresh answer of control, routers are asked for the configuration
};

/// See the head of this file.
class ControlClient {
 public:
  using CallHandler = std::function<void(const std::optional<CommandResult>&)>;

  ControlClient(EventLoop& loop, const ControlClientOptions& options, wire::Node self, uint64_t seed);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  /// Proposes a command. The handler gets nothing when no leader answered before the deadline; the command
  /// may then still come into force.
  void call(const Command& command, CallHandler handler);
  /// Called at each new version, and once at the start with what was on disk.
  std::function<void(const Configuration&)> on_configuration;
  /// Called when the list of routers changes.
  std::function<void(const std::vector<wire::Node>&)> on_routers;
  /// Called with the back ends that the platform says are leaving.
  std::function<void(const std::vector<std::string>&)> on_leaving;

  void start();
  void set_draining();
  /// Another process has this version in force; when it is newer, control is asked at once.
  void on_version_seen(uint64_t version);
  /// What to answer to another node that asks this one, because no control member answers it.
  wire::NodePollAnswer answer_peer(const wire::NodePoll& poll) const;
  const Configuration& configuration() const { return follower_.configuration(); }
  /// Milliseconds since a member with a fresh quorum answered; -1: never.
  int64_t contact_age_ms() const;
  uint64_t sent_bytes() const { return sent_bytes_; }
  /// Calls that wait for a result.
  size_t open_calls() const { return calls_.size(); }

 private:
  struct PendingCall {
    Command command;
    CallHandler handler;
    TimePoint deadline{0};
    TimePoint next_try{0};
  };
  void load_kept();
  std::string read_kept(const std::string& file);
  void keep(const std::string& file, const std::string& content);
  void poll();
  void tick();
  void send_call(uint64_t call_id, PendingCall& call);
  std::shared_ptr<wire::Channel> channel_to(const std::string& member);
  void on_message(const std::string& member, const wire::Message& message);
  void on_poll_answer(const std::string& member, const wire::NodePollAnswer& answer);
  void on_call_answer(const wire::ControlAnswer& answer);
  std::string any_member();
  void leave(const std::string& member);
  void take(const wire::NodePollAnswer& answer);
  void learn_peers(const std::vector<wire::Node>& routers);
  void poll_peer();

  EventLoop& loop_;
  ControlClientOptions options_;
  wire::Node self_;
  Random random_;
  Logger log_{"control-client"};
  storage::DiskFileSystem files_;
  ConfigurationFollower follower_;
  std::map<std::string, std::shared_ptr<wire::Channel>> channels_;
  std::string leader_;       ///< "address:port", when known
  std::string poll_member_;  ///< the member that is polled
  TimePoint poll_sent_at_{0};
  bool poll_open_ = false;
  TimePoint next_poll_{0};
  TimePoint last_contact_{-1};
  TimePoint started_at_{0};
  std::vector<std::string> peers_;  ///< addresses of the other routers
  std::shared_ptr<wire::Channel> peer_channel_;
  TimePoint next_peer_poll_{0};
  uint64_t routers_digest_ = 0;
  std::map<uint64_t, PendingCall> calls_;
  uint64_t last_call_id_ = 0;
  uint64_t sent_bytes_ = 0;
};

}  // namespace stoat::control
