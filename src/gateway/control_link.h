/// A router's link to the control members. It is connected to all of them, for what binds: configurations,
/// retirements, and the lease under which access keys may be honoured. It takes the feed of one of them,
/// which tells what is known of the running fleet, and tells that one its loads.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/common/log.h"
#include "src/common/settings.h"
#include "src/fleet/fleet_messages.h"
#include "src/gateway/feed_choice.h"
#include "src/http/event_loop.h"
#include "src/topology/topology.h"
#include "src/wire/channel.h"

namespace stoat::gateway {

/// Settings of a link.
struct ControlLinkOptions {
  std::vector<Endpoint> seeds;  ///< internal endpoints of some control members
  std::string router;           ///< its name
  std::string zone;             ///< its own
  topology::Topology topology;  ///< tells how far members are
  Duration status_interval = 400ms;
  /// Members whose feed is not taken are told every so many intervals.
  uint32_t intervals_to_others = 3;
  Duration answer_limit = 1200ms;  ///< the member of the feed, silent for so long, is connected to anew
  Duration others_limit = 4s;      ///< the same of other members
  Duration key_lease = 4500ms;     ///< how long a confirmation lets keys be honoured
};

/// See the head of this file.
class ControlLink {
 public:
  using UpdateHandler = std::function<void(const fleet::FleetUpdate&)>;
  using NewsHandler = std::function<void(const fleet::FleetFeedUpdate&)>;
  using StatusMaker = std::function<fleet::RouterStatus()>;
  using PermitHandler = std::function<void(const fleet::PermitResponse&)>;

  ControlLink(EventLoop& loop, ControlLinkOptions options, StatusMaker make_status, UpdateHandler on_update,
              NewsHandler on_news);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /// The version in force here; a confirmation of a newer one doesn't extend the lease.
  void set_configuration_version(uint64_t version) { configuration_version_ = version; }
  /// True while keys may be honoured.
  bool keys_confirmed() const { return loop_.now() < confirmed_until_; }
  /// True once keys could be honoured for the first time since the start.
  bool ever_confirmed() const { return confirmed_until_ != Duration::min(); }
  /// For how long keys may still be honoured; negative: since when not.
  int64_t keys_left_ms() const;
  void set_seeds(std::vector<Endpoint> seeds) { options_.seeds = std::move(seeds); }
  /// Tells all members at once, for example that this router is about to stop.
  void tell_now();
  /// Sends a message to the member whose feed is taken. False when there is none.
  bool send_to_feed(const wire::Message& message);
  /// True while there is one that can be sent to.
  bool has_feed() const;
  /// Hears the leader's answers to questions for permits.
  void set_permit_handler(PermitHandler handler) { on_permits_ = std::move(handler); }
  /// True while a leader is known that can be sent to.
  bool has_leader() const { return connected_to(leader_); }
  /// Sends a message to the member that last said that it leads. False when there is none.
  bool send_to_leader(const wire::Message& message) { return send_to(leader_, message); }
  /// What was sent to members. One that has not told its zone yet counts as one of another region.
  wire::TrafficMeter& traffic() { return *traffic_; }
  /// Members that have answered lately.
  size_t connected() const;

 private:
  struct Member {
    std::shared_ptr<wire::Channel> channel;
    TimePoint heard{0};
    TimePoint opened{0};
    bool reached = false;                ///< as last logged
    std::string zone;                    ///< as it told; empty: it has not yet
    TimePoint vouched{Duration::min()};  ///< of the newest confirmation of a leader that it told
    std::map<uint64_t, TimePoint> sent;  ///< statuses without an answer, by sequence
  };
  bool connected_to(const std::string& address) const;
  bool send_to(const std::string& address, const wire::Message& message);
  void tick();
  /// Takes another feed when the present one will not do.
  void choose();
  Duration silence_of(const Member& member) const;
  void measure(const Member& member);
  void connect_members();
  void tell(const std::string& address, Member& member);
  void take_members(const std::vector<std::string>& members);
  void on_message(const std::string& address, wire::Message message);
  void note_heard(const std::string& address, Member& member, bool leads);
  void extend_lease(Member& member, const fleet::FleetUpdate& update);
  bool confirms(const fleet::FleetUpdate& update) const;

  EventLoop& loop_;
  ControlLinkOptions options_;
  StatusMaker make_status_;
  UpdateHandler on_update_;
  NewsHandler on_news_;
  PermitHandler on_permits_ = [](const fleet::PermitResponse&) {};
  Logger log_{"link"};
  std::shared_ptr<wire::TrafficMeter> traffic_ = std::make_shared<wire::TrafficMeter>();
  std::map<std::string, Member> members_;  ///< by internal address
  std::string leader_;                     ///< internal address of the member that last said that it leads
  std::string feed_;                       ///< internal address of the member whose feed is taken
  TimePoint first_answer_{0};              ///< 0: no member has answered yet
  uint32_t ticks_ = 0;
  std::vector<std::string> told_members_;  ///< as the members last listed themselves
  uint64_t last_sequence_ = 0;
  uint64_t configuration_version_ = 0;
  TimePoint confirmed_until_{Duration::min()};
};

}  // namespace stoat::gateway
