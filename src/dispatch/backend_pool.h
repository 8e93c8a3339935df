/// The back ends as this router sees and uses them: what the registry says, the connections to each, and its
/// own requests under way there.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/delivery/outlier_detector.h"
#include "src/dispatch/backend_rest.h"
#include "src/dispatch/engine_connection.h"
#include "src/dispatch/service_ring.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_messages.h"
#include "src/placement/first_event_model.h"
#include "src/placement/prompt_placement.h"

namespace stoat::dispatch {

/// How an attempt to connect to a back end ended.
enum class ProbeResult : uint8_t {
  kReached,
  kRefused,    ///< its machine says that nothing listens there
  kUnanswered  ///< nothing came back in time, or the new connection was lost at once
};

/// An exchange that broke off at a back end that may have crashed.
struct BrokenExchange {
  uint64_t request = 0;  ///< fingerprint of the request
  TimePoint at{0};       ///< when the exchange broke off
};

/// One back end.
struct Backend {
  fleet::BackendRecord record;
  Endpoint endpoint;
  uint64_t name_hash = 0;
  topology::Location place;
  std::vector<std::shared_ptr<EngineConnection>> idle;  ///< the last one was used last
  size_t connections = 0;                               ///< idle ones and those in use
  uint32_t outstanding = 0;
  uint64_t prefill_tokens = 0;  ///< of own requests without a first event
  fleet::BackendLoad total;     ///< of all routers, as last heard
  fleet::BackendLoad told;      ///< own part of it, as last told
  uint32_t others_outstanding = 0;
  uint64_t others_prefill_tokens = 0;
  placement::KvCacheEstimate memory;
  placement::EngineSpeed speed;
  BackendRest rest;
  TimePoint heard{0};                       ///< when anything last came from it to this router
  std::shared_ptr<EngineConnection> probe;  ///< a connection under way that is to show whether it answers
  TimePoint probed{0};                      ///< when the last probe began
  TimePoint unreachable{0};                 ///< when the last probe that failed began
  std::vector<BrokenExchange> broken = {};  ///< neither confirmed as crashes nor marked as survived
  bool outcome_check_pending = false;       ///< a health check is running or the next probe is scheduled
  bool ended_unexpectedly = false;          ///< control reported it as gone before it signed off
  uint32_t lost_checks = 0;                 ///< connections of the present check that were lost at once

  bool has_free_slot() const {
    return record.slots == 0 ||  // not told
           outstanding + others_outstanding < record.slots;
  }
};

/// See the head of this file.
class BackendPool {
 public:
  explicit BackendPool(EventLoop& loop, topology::Topology topology = {})
      : loop_(loop), topology_(std::move(topology)) {}
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Takes a back end's present record.
  void put(const fleet::BackendRecord& record);
  /// A back end that is in the registry no more gets no new requests.
  void remove(const std::string& id);
  /// Ids of all back ends.
  std::set<std::string> ids() const;
  /// Applies retirements, which hold for ever.
  void retire(const std::vector<fleet::RetiredBackend>& retired);
  /// Takes the load that all routers have told, this one included.
  void set_total_load(const fleet::BackendLoad& load);
  /// This router's own loads have been told, and are in the totals soon.
  void set_published_loads(const std::vector<fleet::BackendLoad>& loads);
  /// The totals are those of now: the teller is there and tells what changes.
  void note_totals_current(TimePoint now) { totals_told_ = now; }
  /// How old the totals are.
  Duration totals_age(TimePoint now) const { return now - std::min(now, totals_told_); }
  /// Forgets the totals: another member is about to tell them.
  void forget_totals();
  /// Forgets what events told of caches: another member is about to tell it.
  void forget_holdings();
  /// Notes the version of a model's weights that an answer told. Versions only go up within one start.
  static void note_version(Backend& backend, const std::string& model, uint64_t version);
  /// How many back ends of a service are known, those included that have signed off.
  size_t count(const std::string& service) const;
  /// The `size` back ends of a service that follow a key (see ServiceRing), without those whose state is
  /// beyond `state`.
  std::vector<BackendPtr> cell(const std::string& service, uint64_t key, size_t size,
                               fleet::BackendState state = fleet::BackendState::kReady) const;
  /// All known back ends of a service, those included that have signed off.
  std::vector<BackendPtr> of_service(const std::string& service) const {
    return cell(service, 0, count(service), fleet::BackendState::kGone);
  }
  /// A known back end, or nullptr.
  BackendPtr find(const std::string& id) const;
  /// A request of this router begins, or ends, at a back end.
  void begin_request(const BackendPtr& backend);
  void end_request(const BackendPtr& backend);
  /// Own requests under way, for the other routers.
  std::vector<fleet::BackendLoad> own_loads() const;

  /// An idle connection, or a new one; nullptr when none is to be had.
  std::shared_ptr<EngineConnection> take_connection(const BackendPtr& backend);
  /// Gives a connection back after its answer was whole, or closes it.
  void release(const BackendPtr& backend, const std::shared_ptr<EngineConnection>& connection);
  /// Closes a connection, which cancels what runs on it.
  void discard(const BackendPtr& backend, const std::shared_ptr<EngineConnection>& connection);
  /// Tries to make a connection to a back end that is silent. One that is made serves later requests.
  void probe(const BackendPtr& backend);
  /// Tries to make a connection to a back end at once, to tell a broken connection from a crash. A probe that
  /// has not been answered yet serves as well.
  void check(const BackendPtr& backend);
  using ProbeHandler = std::function<void(const BackendPtr&, ProbeResult)>;
  /// Hears how each probe ended.
  void set_probe_handler(ProbeHandler handler) { on_probe_ended_ = std::move(handler); }
  /// True when a back end is heard, has its weights in place, and has not failed too often lately.
  bool is_sound(const Backend& backend);
  delivery::OutlierDetector& outliers() { return outliers_; }
  uint64_t connects() const { return connects_; }

 private:
  void enter(const BackendPtr& backend) { rings_[backend->record.service].add(backend); }
  void leave(const BackendPtr& backend);
  static void update_others(Backend& backend);
  /// A connection that no request uses has died.
  void on_unusable(const std::weak_ptr<Backend>& weak, EngineConnection* connection);
  void start_probe(const BackendPtr& backend);
  /// True when the probe that has ended is followed by another: its connection was made and lost at once, as
  /// at a process that is about to be gone.
  bool checks_again(const BackendPtr& backend, const EngineConnection& probe);
  void end_probe(const BackendPtr& backend);

  EventLoop& loop_;
  topology::Topology topology_;
  std::map<std::string, BackendPtr> backends_;  ///< by id
  std::map<std::string, ServiceRing> rings_;    ///< of `backends_`, by service
  std::map<std::string, BackendPtr> busy_;      ///< with own requests under way, by id
  std::vector<BackendPtr> told_;                ///< whose own loads have been told
  std::map<std::string, fleet::BackendState> retired_;
  delivery::OutlierDetector outliers_;
  ProbeHandler on_probe_ended_ = [](const BackendPtr&, ProbeResult) {};
  TimePoint totals_told_{0};
  uint64_t connects_ = 0;
};

}  // namespace stoat::dispatch
