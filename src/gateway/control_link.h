/// A router's link to the control members: follows all of them, tells them its state a few times a second,
/// and keeps the lease under which access keys may be honoured.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/common/log.h"
#include "src/common/settings.h"
#include "src/fleet/fleet_messages.h"
#include "src/http/event_loop.h"
#include "src/wire/channel.h"

namespace stoat::gateway {

/// Settings of a link.
struct ControlLinkOptions {
  std::vector<Endpoint> seeds;  ///< internal endpoints of some control members
  Duration status_interval = 400ms;
  Duration answer_limit = 1200ms;  ///< a member silent for so long is connected to anew
  Duration key_lease = 4500ms;     ///< how long a confirmation lets keys be honoured
};

/// See the head of this file.
class ControlLink {
 public:
  using UpdateHandler = std::function<void(const fleet::FleetUpdate&)>;
  using NewsHandler = std::function<void(const fleet::PlacementNews&)>;
  using CacheHandler = std::function<void(const fleet::CacheNews&)>;
  using StatusMaker = std::function<fleet::RouterStatus()>;

  ControlLink(EventLoop& loop, ControlLinkOptions options, StatusMaker make_status, UpdateHandler on_update,
              NewsHandler on_news, CacheHandler on_cache_news);
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
  /// Sends news to the leader, which tells the other routers; lost when no leader is known.
  void send_to_leader(const fleet::PlacementNews& news);
  size_t connected() const;

 private:
  struct Member {
    std::shared_ptr<wire::Channel> channel;
    TimePoint heard{0};
    TimePoint opened{0};
    bool reached = false;                ///< as last logged
    std::map<uint64_t, TimePoint> sent;  ///< statuses without an answer, by sequence
  };
  void tick();
  void connect_members();
  void tell(Member& member);
  void on_message(const std::string& address, wire::Message message);
  void note_heard(const std::string& address, Member& member, bool leads);
  void extend_lease(Member& member, const fleet::FleetUpdate& update);

  EventLoop& loop_;
  ControlLinkOptions options_;
  StatusMaker make_status_;
  UpdateHandler on_update_;
  NewsHandler on_news_;
  CacheHandler on_cache_news_;
  Logger log_{"link"};
  std::map<std::string, Member> members_;  ///< by internal address
  std::string leader_;                     ///< internal address of the member that last said that it leads
  std::vector<std::string> told_members_;  ///< as the members last listed themselves
  uint64_t last_sequence_ = 0;
  uint64_t configuration_version_ = 0;
  TimePoint confirmed_until_{Duration::min()};
};

}  // namespace stoat::gateway
