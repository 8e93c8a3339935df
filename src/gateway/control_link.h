/// A router's connections to the control members. It connects to all of them for state that must be
/// confirmed: configurations, retirements, and the lease under which access keys are accepted. From one of
/// them, the feed member, it takes the feed of the fleet's running state, and it reports its loads to that
/// member.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/common/log.h"
#include "src/common/settings.h"
#include "src/fleet/fleet_messages.h"
#include "src/gateway/configuration_fetch.h"
#include "src/gateway/feed_choice.h"
#include "src/http/event_loop.h"
#include "src/topology/topology.h"
#include "src/wire/channel.h"

namespace stoat::gateway {

/// Settings of a control link.
struct ControlLinkOptions {
  std::vector<Endpoint> seeds;  ///< internal endpoints of some control members
  std::string router;           ///< the router's name
  std::string zone;             ///< the router's zone
  topology::Topology topology;  ///< gives the distance to each member
  Duration status_interval = 400ms;
  /// A status goes to the feed member at each interval, and to the other members once every this many
  /// intervals.
  uint32_t intervals_per_broadcast = 3;
  Duration feed_member_timeout = 1200ms;  ///< reconnects to the feed member after this long without a message
  Duration other_member_timeout = 4s;     ///< the same for the other members
  Duration key_lease = 4500ms;            ///< how long a confirmation allows access keys to be accepted
  /// Where to connect to reach a member's endpoint, if another address leads there.
  std::function<Endpoint(const Endpoint&)> connect_to = [](const Endpoint& member) { return member; };
};

/// Called with a member's internal address.
struct StreamRecordHandlers {
  /// The member answers on a new connection.
  std::function<void(const std::string&, fleet::ProtocolVersion)> on_member_ready =
      [](const std::string&, fleet::ProtocolVersion) {};
  std::function<void(const std::string&)> on_member_lost = [](const std::string&) {};
  std::function<void(const std::string&, const fleet::MixedServices&)> on_mixed_services =
      [](const std::string&, const fleet::MixedServices&) {};
  std::function<void(const std::string&, const fleet::StreamRecordBatchResponse&)> on_stored =
      [](const std::string&, const fleet::StreamRecordBatchResponse&) {};
  std::function<void(const std::string&, const fleet::StreamRecordResponse&)> on_response =
      [](const std::string&, const fleet::StreamRecordResponse&) {};
};

/// Connects a router to the control members and chooses the feed member.
class ControlLink {
 public:
  using UpdateHandler = std::function<void(const fleet::FleetUpdate&)>;
  using FeedUpdateHandler = std::function<void(const fleet::FleetFeedUpdate&)>;
  using StatusProvider = std::function<fleet::RouterStatus()>;
  using ConfigurationHandler = std::function<void(const std::shared_ptr<const fleet::FleetConfiguration>&)>;
  using SlotAnswerHandler = std::function<void(const fleet::SlotAnswer&)>;
  using PermitHandler = std::function<void(const fleet::PermitResponse&)>;
  using IncarnationHandler = std::function<std::string(const std::string&)>;

  ControlLink(EventLoop& loop, ControlLinkOptions options, StatusProvider make_status,
              UpdateHandler on_update, FeedUpdateHandler on_feed_update);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /// Sets the configuration in force. A confirmation of a newer version does not extend the key lease.
  void set_configuration(std::shared_ptr<const fleet::FleetConfiguration> configuration);
  /// Sets the handler for configurations that were requested from a member.
  void set_configuration_handler(ConfigurationHandler handler) { on_configuration_ = std::move(handler); }
  /// Returns how many received configurations did not match what a member announced.
  uint64_t configuration_mismatches() const { return configuration_mismatches_; }
  /// Returns for how long a newer configuration than the one in force has been announced; 0: there is none.
  Duration time_behind() const;
  /// Returns true while access keys may be accepted.
  bool key_lease_valid() const {
    return had_key_lease() && loop_.now() < configuration_confirmed_at_ + options_.key_lease;
  }
  /// Returns true if access keys could be accepted at some time since the start.
  bool had_key_lease() const { return configuration_confirmed_at_ != Duration::min(); }
  /// Returns true if the configuration in force was confirmed as the newest at most `age` ago, and no newer
  /// one has been heard of since.
  bool configuration_is_newest(Duration age) const {
    return newest_known_version_ <= configuration_fetch_.held_version() && had_key_lease() &&
           loop_.now() - configuration_confirmed_at_ <= age;
  }
  /// Returns how long access keys may still be accepted, in milliseconds. Negative: the time since the lease
  /// ended.
  int64_t key_lease_left_ms() const;
  void set_seeds(std::vector<Endpoint> seeds) { options_.seeds = std::move(seeds); }
  /// Sends the status to all members at once, for example when this router is about to stop.
  void send_status_to_all();
  /// Sends a message to the feed member. Returns false when there is none.
  bool send_to_feed_member(const wire::Message& message);
  /// Returns true while there is a feed member with an open connection.
  bool has_feed_member() const;
  /// Sets the handler for the leader's responses to permit requests.
  void set_permit_handler(PermitHandler handler) { on_permit_answer_ = std::move(handler); }
  /// Sets the handler for the leader's answers to reports of slots.
  void set_slot_handler(SlotAnswerHandler handler) { on_slot_answer_ = std::move(handler); }
  /// Sets the handlers for records of streams, which members keep.
  void set_stream_record_handlers(StreamRecordHandlers handlers) { stream_records_ = std::move(handlers); }
  /// Sets what gives the newest known incarnation of a backend, by its name; empty: none is known.
  void set_incarnation_handler(IncarnationHandler handler) { newest_incarnation_ = std::move(handler); }
  /// Sends a message to a member. Returns false if there is no open connection to it.
  bool send_to_member(const std::string& address, const wire::Message& message) {
    return send_to(address, message);
  }
  /// Returns true while a leader with an open connection is known.
  bool has_leader() const { return connected_to(leader_address_); }
  /// Returns true while the known leader answers permit requests.
  bool leader_grants_permits() const { return leader_speaks(fleet::kFirstStatedVersion); }
  /// Returns true while a leader with an open connection is known and speaks this version of the protocol.
  bool leader_speaks(fleet::ProtocolVersion version) const;
  /// Sends a message to the member that last reported that it leads. Returns false when there is none.
  bool send_to_leader(const wire::Message& message) { return send_to(leader_address_, message); }
  /// Sets the handler for messages that could not be decoded.
  void set_unreadable_handler(wire::Channel::UnreadableHandler handler) {
    on_unreadable_ = std::move(handler);
  }
  /// Traffic sent to members. A member that has not reported its zone yet counts as one in another region.
  wire::TrafficMeter& traffic() { return *traffic_; }
  /// Returns the number of members that have answered within their timeout.
  size_t responsive_member_count() const;

 private:
  struct Member {
    std::shared_ptr<wire::Channel> channel;
    TimePoint last_message_at{0};
    TimePoint connect_started_at{0};
    bool reachable = false;  ///< as last logged
    bool ready = false;      ///< has answered on this connection
    std::string zone;        ///< as the member reported it; empty: not reported yet
    fleet::ProtocolVersion protocol_version = 0;
    /// Time of the newest leader confirmation that the member reported.
    TimePoint leader_confirmed_at{Duration::min()};
    /// When this router last left it because it was not suitable as the feed member.
    std::optional<TimePoint> left_at;
    /// Send times of statuses without an answer, by sequence number.
    std::map<uint64_t, TimePoint> unanswered_statuses;
  };
  bool connected_to(const std::string& address) const;
  bool send_to(const std::string& address, const wire::Message& message);
  void tick();
  /// Chooses another feed member if the current one is no longer suitable.
  void update_feed_member();
  std::vector<FeedCandidate> feed_candidates(TimePoint now) const;
  /// Returns true if some member has become suitable as the feed member only now, as after an election.
  bool note_suitable_members(const std::vector<FeedCandidate>& candidates, TimePoint now);
  /// A member's connection has ended or is replaced.
  void on_member_lost(const std::string& address);
  Duration idle_time(const Member& member) const;
  void set_traffic_meter(const Member& member);
  void connect_members();
  void send_status(const std::string& address, Member& member);
  void store_member_list(const std::vector<std::string>& members);
  void on_message(const std::string& address, wire::Message message);
  void record_answer(const std::string& address, Member& member, bool leads);
  void extend_key_lease(Member& member, const fleet::FleetUpdate& update);
  bool confirms_configuration(const fleet::FleetUpdate& update) const;
  /// Notes which version the member has, and logs a configuration that it sent unasked.
  void record_configuration(const std::string& address, const fleet::FleetUpdate& update);
  /// Handles a message other than a FleetUpdate.
  void on_other_message(const std::string& address, const wire::Message& message);
  void on_incarnation_request(const std::string& address, const fleet::IncarnationRequest& request);
  void on_configuration_part(const std::string& address, const fleet::ConfigurationPart& part);
  /// Requests a newer configuration, if there is one and it is not on its way.
  void fetch_configuration();
  /// The members that can be asked, the nearest first.
  std::vector<std::string> connected_members() const;

  EventLoop& loop_;
  ControlLinkOptions options_;
  StatusProvider make_status_;
  UpdateHandler on_update_;
  FeedUpdateHandler on_feed_update_;
  wire::Channel::UnreadableHandler on_unreadable_ = [](const wire::Channel&, const wire::UnreadableMessage&) {
  };
  ConfigurationHandler on_configuration_ = [](const std::shared_ptr<const fleet::FleetConfiguration>&) {};
  StreamRecordHandlers stream_records_;
  SlotAnswerHandler on_slot_answer_ = [](const fleet::SlotAnswer&) {};
  IncarnationHandler newest_incarnation_ = [](const std::string&) { return std::string(); };
  PermitHandler on_permit_answer_ = [](const fleet::PermitResponse&) {};
  Logger log_{"link"};
  std::shared_ptr<wire::TrafficMeter> traffic_ = std::make_shared<wire::TrafficMeter>();
  std::map<std::string, Member> members_;  ///< by internal address
  std::string leader_address_;      ///< internal address of the member that last reported that it leads
  std::string feed_address_;        ///< internal address of the feed member
  bool was_any_suitable_ = false;   ///< at the last choice, a member was suitable as the feed member
  TimePoint first_suitable_at_{0};  ///< when that began
  TimePoint first_answer_at_{0};    ///< 0: no member has answered yet
  uint32_t ticks_ = 0;
  std::vector<std::string> listed_members_;  ///< as the members last reported
  uint64_t last_sequence_ = 0;
  ConfigurationFetch configuration_fetch_;
  uint64_t configuration_mismatches_ = 0;
  uint64_t newest_known_version_ = 0;  ///< of all configurations that members announced or confirmed
  /// When the configuration in force was last confirmed as the newest; min: never.
  TimePoint configuration_confirmed_at_{Duration::min()};
};

}  // namespace stoat::gateway
