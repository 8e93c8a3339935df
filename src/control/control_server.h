/// A control member as a process: peers, nodes and operators on the network, the ControlCore on a disk.
#pragma once

#include "src/common/command_line.h"
#include "src/common/log.h"
#include "src/common/metrics.h"
#include "src/control/durable_driver.h"
#include "src/http/client.h"
#include "src/http/common_routes.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// Another control member, as the settings name it.
struct PeerSetting {
  std::string name;
  Endpoint endpoint;
};

/// Settings of a control member.
struct ControlSettings {
  std::string name;
  Endpoint listen;     ///< peers and nodes
  Endpoint advertise;  ///< where peers and nodes reach `listen`
  Endpoint admin;      ///< operators, over HTTP
  std::string data_folder;
  bool found_cluster = false;  ///< found a cluster once all peers are up and blank; else wait to be taken in
  std::vector<PeerSetting> peers;
  std::string operator_key;  ///< empty: the administration API needs no key
  std::string platform;      ///< "address:port" of the machine list; may be empty
  ControlOptions core;
  int64_t max_weight_loads = 2;  ///< engines that load weights at the same time
};

/// Reads the settings of stoat-control.
ControlSettings read_control_settings(SettingsReader& reader);

/// See the head of this file.
class ControlServer {
 public:
  /// Throws std::runtime_error when the disk's state is damaged or an address can't be bound.
  ControlServer(EventLoop& loop, const ControlSettings& settings);
  ~ControlServer() { wire::close_all(peer_channels_); }
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  /// A peer that has said that it has no state.
  struct BlankPeer {
    consensus::Member member;
    TimePoint heard_at{0};
  };
  consensus::RestoredState restore();
  void start_core(const consensus::RestoredState& restored);
  void found_cluster();
  void add_routes();
  void on_message(const std::shared_ptr<wire::Channel>& channel, wire::Message message);
  void send_to_peer(const consensus::Message& message);
  void deliver_answers();
  void tick();
  void announce_join();
  void stop();

  // admin_api.cc
  bool authorized(const http::ExchangePtr& exchange) const;
  void with_confirmed_state(const http::ExchangePtr& exchange, std::function<nlohmann::json()> body);
  void propose_for(const http::ExchangePtr& exchange, const Command& command);
  void post_change(const http::ExchangePtr& exchange);
  void post_order(const http::ExchangePtr& exchange);
  void post_replace(const http::ExchangePtr& exchange);
  nlohmann::json members_json() const;
  nlohmann::json nodes_json() const;
  nlohmann::json orders_json() const;
  nlohmann::json status_json() const;
  void reply_not_leader(http::Exchange& exchange) const;

  // order_runner.cc
  void poll_platform();
  void run_orders();
  void send_order(const std::string& backend, const Order& order);
  void check_order(const std::string& backend, const Order& order);

  using AnswerHandler = std::function<void(const CallAnswer&)>;
  uint64_t add_waiting(AnswerHandler handler);

  EventLoop& loop_;
  ControlSettings settings_;
  Logger log_{"control"};
  Metrics metrics_;
  storage::DiskFileSystem files_;
  storage::ReplicaStore store_;
  storage::DiskIdentity identity_;
  bool blank_ = false;
  std::unique_ptr<ControlCore> core_;
  std::unique_ptr<DurableDriver> driver_;
  std::unique_ptr<wire::ChannelServer> channels_;
  std::unique_ptr<http::Server> admin_;
  http::Client client_;
  std::map<std::string, std::shared_ptr<wire::Channel>> peer_channels_;
  std::map<std::string, BlankPeer> blank_peers_;
  std::map<uint64_t, AnswerHandler> waiting_;
  uint64_t last_token_ = 0;
  std::map<std::string, uint64_t> orders_under_way_;  ///< back end to fence
  bool delivering_ = false;
};

}  // namespace stoat::control
