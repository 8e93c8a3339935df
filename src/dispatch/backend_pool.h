/// This router's view of the backends: their records from the registry, the connections to each, and its own
/// requests in progress there.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/delivery/outlier_detector.h"
#include "src/dispatch/backend_backoff.h"
#include "src/dispatch/backend_connection.h"
#include "src/dispatch/link_monitor.h"
#include "src/dispatch/link_verifier.h"
#include "src/dispatch/service_ring.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_messages.h"
#include "src/placement/first_event_model.h"
#include "src/placement/prompt_placement.h"

namespace stoat::dispatch {

/// Result of a probe, which is an attempt to connect to a backend.
enum class ProbeResult : uint8_t {
  kReached,
  kRefused,     ///< its host refused the connection: nothing listens there
  kUnanswered,  ///< timed out, or the new connection was closed at once
  kRelayFailed  ///< the router that was to relay the connection failed; nothing is known of the backend
};

/// The way from this router to a backend.
enum class LinkPath : uint8_t {
  kDirect,
  kRelayed  ///< through another router
};

/// What this router has seen of a backend on one way there.
struct PathActivity {
  TimePoint last_received_at{0};      ///< when data was last received
  TimePoint last_probe_at{0};         ///< when the last probe was started
  TimePoint last_failed_probe_at{0};  ///< when the last failed probe was started
};

/// An exchange that broke off at a backend that may have crashed.
struct BrokenExchange {
  uint64_t request = 0;              ///< fingerprint of the request
  TimePoint at{0};                   ///< when the exchange broke off
  std::vector<uint64_t> parts = {};  ///< features of its prompt that may have caused a crash
};

/// One incarnation of a backend.
struct Backend {
  fleet::BackendRecord record;
  Endpoint endpoint;
  uint64_t name_hash = 0;
  topology::Location place;
  TimePoint listed_at{0};                                ///< when this router learned of it
  std::vector<std::shared_ptr<BackendConnection>> idle;  ///< most recently used last
  size_t connections = 0;                                ///< idle and in use, probes included
  uint32_t outstanding = 0;                              ///< own requests in progress
  uint64_t prefill_tokens = 0;      ///< prompt tokens to be prefilled for own requests without a first event
  fleet::BackendLoad all_routers;   ///< load of all routers together, as last received
  fleet::BackendLoad published;     ///< own part of it, as last published
  uint32_t others_outstanding = 0;  ///< requests of other routers: all_routers less published
  uint64_t others_prefill_tokens = 0;
  placement::KvCacheEstimate cache_estimate;
  placement::EngineSpeed speed;
  BackendBackoff backoff;
  PathActivity direct;
  PathActivity relayed;
  std::shared_ptr<BackendConnection> probe;  ///< a connection being made to test whether it responds
  bool verifying = false;                    ///< see LinkVerifier
  bool refused_directly = false;             ///< a direct connection was refused since the verification
  TimePoint recovery_probe_at{0};            ///< when a direct connection was last tried while relayed
  std::vector<BrokenExchange> broken_exchanges = {};  ///< neither confirmed as crashes nor marked as survived
  bool outcome_check_pending = false;  ///< a health check is running or the next probe is scheduled
  bool ended_unexpectedly = false;     ///< the control plane reported it gone, and it had not deregistered
  PathActivity& activity(bool is_relayed) { return is_relayed ? relayed : direct; }
  bool answered = false;                             ///< this router has had an answer from it
  TimePoint last_answered_send_at{Duration::min()};  ///< when the last request or health check was sent that
                                                     ///< it answered
  TimePoint last_unreached_at{Duration::min()};      ///< when a probe last failed
  uint32_t dropped_probes = 0;  ///< connections of the current check that were closed at once

  bool has_free_slot() const {
    return record.slots == 0 ||  // unknown
           outstanding + others_outstanding < record.slots;
  }
};

/// The backends that this router knows, by id and by service, with their connections and load.
class BackendPool {
 public:
  explicit BackendPool(EventLoop& loop, topology::Topology topology = {})
      : loop_(loop), topology_(std::move(topology)) {}
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Adds a backend, or updates its record.
  void put(const fleet::BackendRecord& record);
  /// Removes a backend that is no longer in the registry. Requests in progress there continue.
  void remove(const std::string& id);
  std::set<std::string> ids() const;
  /// The newest incarnation of a backend that is known. `name`: self-chosen name, or an incarnation's id.
  /// Empty: none.
  std::string newest_incarnation(const std::string& name) const;
  /// Applies retirements. They are permanent, also for backends that are not known yet.
  void retire(const std::vector<fleet::RetiredBackend>& retired);
  /// Sets the load of all routers together at a backend, this router's included.
  void set_total_load(const fleet::BackendLoad& load);
  /// Records the loads that this router has just published. The totals will include them soon.
  void set_published_loads(const std::vector<fleet::BackendLoad>& loads);
  /// Marks the totals as current: the control-plane member that reports them is connected and sends all
  /// changes.
  void note_totals_current(TimePoint now) { totals_updated_at_ = now; }
  /// Time since the totals were last current.
  Duration total_load_age(TimePoint now) const { return now - std::min(now, totals_updated_at_); }
  /// Clears the totals, before another control-plane member reports them.
  void forget_totals();
  /// Clears the cache contents known from cache events, before another control-plane member reports them.
  void forget_holdings();
  /// Records a model's weights version stated in a response. It never decreases within one incarnation.
  static void note_version(Backend& backend, const std::string& model, uint64_t version);
  /// Number of known backends of a service, including draining and gone ones.
  size_t count(const std::string& service) const;
  /// The `size` backends of a service that follow a key (see ServiceRing), without those whose state is
  /// later in the life cycle than `state`.
  std::vector<BackendPtr> subset(const std::string& service, uint64_t key, size_t size,
                                 fleet::BackendState state = fleet::BackendState::kReady) const;
  /// All known backends of a service, including draining and gone ones.
  std::vector<BackendPtr> of_service(const std::string& service) const {
    return subset(service, 0, count(service), fleet::BackendState::kGone);
  }
  /// nullptr if the backend is not known.
  BackendPtr find(const std::string& id) const;
  /// Counts a request of this router that begins, or ends, at a backend.
  void begin_request(const BackendPtr& backend);
  void end_request(const BackendPtr& backend);
  /// Loads of backends with own requests in progress, to be published to the other routers.
  std::vector<fleet::BackendLoad> own_loads() const;
  /// Number of own requests in progress at backends of a service.
  uint32_t own_outstanding(const std::string& service) const;

  /// Returns an idle connection or a new one; nullptr if no socket could be created.
  std::shared_ptr<BackendConnection> take_connection(const BackendPtr& backend);
  /// The way that a new connection to a backend takes.
  LinkPath path_to(const Backend& backend) const;
  /// Opens a connection, relayed or not; nullptr if no socket could be created or no relay can be used.
  std::shared_ptr<BackendConnection> open_connection(const BackendPtr& backend, LinkPath path,
                                                     BackendConnection::UnusableHandler on_unusable);
  /// Removes an idle connection that was closed.
  void remove_idle(const BackendPtr& backend, BackendConnection* connection);
  /// Up to `count` ready backends other than `excluded`, drawn at random.
  std::vector<BackendPtr> sample_others(const std::string& excluded, size_t count);
  /// Returns a connection after a complete response. Closes it if it can't be reused.
  void release(const BackendPtr& backend, const std::shared_ptr<BackendConnection>& connection);
  /// Closes a connection, which cancels its request.
  void discard(const BackendPtr& backend, const std::shared_ptr<BackendConnection>& connection);
  /// Probes a silent backend by connecting to it, at most once per kProbeInterval. A connection that is made
  /// is kept for later requests.
  void probe(const BackendPtr& backend);
  /// Probes a backend at once, to distinguish a broken connection from a crash. A probe that is still
  /// connecting is used for this.
  void check(const BackendPtr& backend);
  using ProbeHandler = std::function<void(const BackendPtr&, ProbeResult)>;
  /// Sets the callback for the result of each probe.
  void set_probe_handler(ProbeHandler handler) { on_probe_ended_ = std::move(handler); }
  /// True if a backend is healthy: not lost, not loading weights, and not ejected for failures.
  bool is_sound(const Backend& backend);
  delivery::OutlierDetector& outliers() { return outliers_; }
  /// Finds out whether a failed direct connection is the backend's fault or the link's.
  LinkVerifier& verifier() { return verifier_; }
  /// What this router's own links reach.
  LinkMonitor& links() { return links_; }
  const LinkMonitor& links() const { return links_; }
  /// The routers that relay for this one.
  relay::RelaySet& relays() { return relays_; }
  /// Sets the name under which this router asks others to relay, and seeds the choice among them.
  void set_router(const std::string& name, uint64_t seed) {
    router_name_ = name;
    random_ = Random(seed);
  }
  /// Where to connect to reach a backend's endpoint, if another address leads there.
  void set_connect_to(std::function<Endpoint(const Endpoint&)> connect_to) {
    connect_to_ = std::move(connect_to);
  }
  uint64_t connections_opened() const { return connections_opened_; }
  EventLoop& loop() { return loop_; }

 private:
  void add_to_ring(const BackendPtr& backend) { rings_[backend->record.service].add(backend); }
  void remove_from_ring(const BackendPtr& backend);
  static void update_other_loads(Backend& backend);
  /// A connection without a request was closed: an idle one, or a probe.
  void on_unusable(const std::weak_ptr<Backend>& weak, BackendConnection* connection);
  /// Whether an idle connection can be used for a request that would open a connection of `path` otherwise.
  bool usable_now(const Backend& backend, const BackendConnection& connection, LinkPath path) const;
  void start_probe(const BackendPtr& backend);
  /// Schedules another probe if the one that ended was connected but closed at once, as by a process that is
  /// about to exit. Returns whether it did.
  bool schedule_recheck(const BackendPtr& backend, const BackendConnection& probe);
  void end_probe(const BackendPtr& backend);

  EventLoop& loop_;
  topology::Topology topology_;
  std::map<std::string, BackendPtr> backends_;  ///< by id
  std::map<std::string, ServiceRing> rings_;    ///< of `backends_`, by service
  std::map<std::string, BackendPtr> busy_;      ///< with own requests in progress, by id
  std::vector<BackendPtr> published_;           ///< whose own loads were last published
  std::map<std::string, fleet::BackendState> retired_;
  delivery::OutlierDetector outliers_;
  LinkMonitor links_;
  relay::RelaySet relays_;
  std::string router_name_;
  Random random_{0};
  std::function<Endpoint(const Endpoint&)> connect_to_ = [](const Endpoint& backend) { return backend; };
  ProbeHandler on_probe_ended_ = [](const BackendPtr&, ProbeResult) {};
  LinkVerifier verifier_{*this};
  TimePoint totals_updated_at_{0};
  uint64_t connections_opened_ = 0;
};

}  // namespace stoat::dispatch
