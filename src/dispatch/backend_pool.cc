#include "src/dispatch/backend_pool.h"

#include <algorithm>
#include <utility>

#include "src/common/hash.h"
#include "src/fleet/incarnation.h"
#include "src/fleet/protocol_version.h"

namespace stoat::dispatch {

namespace {

/// Minimum time between probes of a silent backend.
constexpr Duration kProbeInterval = 500ms;
/// Connecting takes some milliseconds unless the SYN packet is lost. TCP retransmits a lost SYN only after a
/// second.
constexpr Duration kProbeTimeout = 300ms;
/// The same for a probe through another router, which has kProbeTimeout to reach the backend.
constexpr Duration kRelayedProbeTimeout = 600ms;
/// Delay before the next probe of a check whose connection was closed at once, and the maximum number of such
/// further probes.
constexpr Duration kRecheckDelay = 50ms;
constexpr uint32_t kMaxDroppedProbes = 3;

}  // namespace

BackendPool::~BackendPool() {
  for (const auto& [id, backend] : backends_) {
    for (const auto& connection : backend->idle) {
      connection->close();
    }
  }
}

void BackendPool::put(const fleet::BackendRecord& record) {
  BackendPtr& backend = backends_[record.id];
  if (backend == nullptr) {
    backend = std::make_shared<Backend>();
    backend->name_hash = hash_bytes(record.id);
    backend->listed_at = loop_.now();
    backend->place = topology_.location_of(record.zone);
    parse_endpoint(record.address, backend->endpoint);
    outliers_.track(record.id);
    links_.track(record.id);
  }
  const bool moves = backend->record.service != record.service;
  if (moves) {
    remove_from_ring(backend);
  }
  const fleet::BackendRecord known = std::exchange(backend->record, record);
  if (moves) {
    add_to_ring(backend);
  }
  for (fleet::ModelVersion& entry : backend->record.models) {
    entry.version = std::max(entry.version, known.version_of(entry.model));
  }
  const auto retired = retired_.find(record.id);
  if (retired != retired_.end()) {
    backend->record.state = std::max(backend->record.state, retired->second);
  }
}

void BackendPool::remove(const std::string& id) {
  const auto known = backends_.find(id);
  if (known == backends_.end()) {
    return;
  }
  for (const auto& connection : known->second->idle) {
    connection->close();
  }
  known->second->idle.clear();
  outliers_.forget(id);
  links_.forget(id);
  remove_from_ring(known->second);
  busy_.erase(id);
  backends_.erase(known);
}

void BackendPool::remove_from_ring(const BackendPtr& backend) {
  const auto ring = rings_.find(backend->record.service);
  if (ring != rings_.end()) {
    ring->second.remove(backend);
  }
}

std::set<std::string> BackendPool::ids() const {
  std::set<std::string> list;
  for (const auto& [id, backend] : backends_) {
    list.insert(id);
  }
  return list;
}

std::string BackendPool::newest_incarnation(const std::string& name) const {
  std::string newest = backends_.contains(name) ? name : "";
  for (auto entry = backends_.lower_bound(name); entry != backends_.end() && entry->first.starts_with(name);
       ++entry) {
    if (fleet::backend_name(entry->first) == name) {
      newest = fleet::newer_incarnation(newest, entry->first);
    }
  }
  return newest;
}

void BackendPool::note_version(Backend& backend, const std::string& model, uint64_t version) {
  for (fleet::ModelVersion& entry : backend.record.models) {
    if (entry.model == model && version > entry.version) {
      entry.version = version;
    }
  }
}

void BackendPool::retire(const std::vector<fleet::RetiredBackend>& retired) {
  for (const fleet::RetiredBackend& entry : retired) {
    fleet::BackendState& state = retired_.emplace(entry.id, entry.state).first->second;
    state = std::max(state, entry.state);
    const auto known = backends_.find(entry.id);
    if (known != backends_.end()) {
      known->second->record.state = std::max(known->second->record.state, entry.state);
    }
  }
}

void BackendPool::update_other_loads(Backend& backend) {
  const auto other_routers_share = [](uint32_t all_routers, uint32_t own) {
    return all_routers - std::min(all_routers, own);
  };
  backend.others_outstanding =
      other_routers_share(backend.all_routers.outstanding, backend.published.outstanding);
  backend.others_prefill_tokens =
      other_routers_share(backend.all_routers.prefill_tokens, backend.published.prefill_tokens);
}

void BackendPool::set_total_load(const fleet::BackendLoad& load) {
  if (const BackendPtr known = find(load.backend)) {
    known->all_routers = load;
    update_other_loads(*known);
  }
}

void BackendPool::set_published_loads(const std::vector<fleet::BackendLoad>& loads) {
  for (const BackendPtr& backend : std::exchange(published_, {})) {
    backend->published = {};
  }
  for (const fleet::BackendLoad& load : loads) {
    if (const BackendPtr known = find(load.backend)) {
      known->published = load;
      published_.push_back(known);
    }
  }
}

void BackendPool::forget_totals() {
  for (const auto& [id, backend] : backends_) {
    backend->all_routers = {};
    update_other_loads(*backend);
  }
}

void BackendPool::forget_holdings() {
  for (const auto& [id, backend] : backends_) {
    backend->cache_estimate.forget_holdings();
  }
}

size_t BackendPool::count(const std::string& service) const {
  const auto ring = rings_.find(service);
  return ring == rings_.end() ? 0 : ring->second.size();
}

std::vector<BackendPtr> BackendPool::subset(const std::string& service, uint64_t key, size_t size,
                                            fleet::BackendState state) const {
  const auto ring = rings_.find(service);
  if (ring == rings_.end()) {
    return {};
  }
  std::vector<BackendPtr> found = ring->second.subset(key, size);
  std::erase_if(found, [state](const BackendPtr& backend) { return backend->record.state > state; });
  return found;
}

BackendPtr BackendPool::find(const std::string& id) const {
  const auto known = backends_.find(id);
  return known == backends_.end() ? nullptr : known->second;
}

void BackendPool::begin_request(const BackendPtr& backend) {
  ++backend->outstanding;
  busy_[backend->record.id] = backend;
}

void BackendPool::end_request(const BackendPtr& backend) {
  backend->outstanding -= backend->outstanding > 0 ? 1 : 0;
  const auto busy = busy_.find(backend->record.id);
  // By now the id may belong to another Backend object.
  if (backend->outstanding == 0 && busy != busy_.end() && busy->second == backend) {
    busy_.erase(busy);
  }
}

std::vector<fleet::BackendLoad> BackendPool::own_loads() const {
  std::vector<fleet::BackendLoad> loads;
  for (const auto& [id, backend] : busy_) {
    loads.push_back({id, backend->outstanding, static_cast<uint32_t>(backend->prefill_tokens)});
  }
  return loads;
}

uint32_t BackendPool::own_outstanding(const std::string& service) const {
  uint32_t total = 0;
  for (const auto& [id, backend] : busy_) {
    total += backend->record.service == service ? backend->outstanding : 0;
  }
  return total;
}

LinkPath BackendPool::path_to(const Backend& backend) const {
  return links_.prefers_relay(backend.record.id) && relays_.usable(loop_.now()) ? LinkPath::kRelayed
                                                                                : LinkPath::kDirect;
}

std::shared_ptr<BackendConnection> BackendPool::open_connection(
    const BackendPtr& backend, LinkPath path, BackendConnection::UnusableHandler on_unusable) {
  std::shared_ptr<BackendConnection> connection;
  if (path == LinkPath::kDirect) {
    connection = BackendConnection::connect(loop_, connect_to_(backend->endpoint), std::move(on_unusable));
  } else if (const relay::RelayPtr relay = relays_.choose(random_, loop_.now())) {
    const relay::RelayRequest request{fleet::kProtocolVersion, router_name_, backend->record.id};
    connection = BackendConnection::connect_through(loop_, relay, request, std::move(on_unusable));
  }
  if (connection != nullptr) {
    ++backend->connections;
    ++connections_opened_;
  }
  return connection;
}

bool BackendPool::usable_now(const Backend& backend, const BackendConnection& connection,
                             LinkPath path) const {
  if (!connection.usable() || loop_.now() >= connection.idle_until()) {
    return false;
  }
  const bool relayed = path == LinkPath::kRelayed;
  return connection.relayed() ? relayed : !relayed || links_.open_connections_live(backend.record.id);
}

std::shared_ptr<BackendConnection> BackendPool::take_connection(const BackendPtr& backend) {
  const LinkPath path = path_to(*backend);
  while (!backend->idle.empty()) {
    auto connection = backend->idle.back();
    backend->idle.pop_back();
    if (usable_now(*backend, *connection, path)) {
      return connection;
    }
    discard(backend, connection);
  }
  const std::weak_ptr<Backend> weak = backend;
  return open_connection(backend, path, [this, weak](BackendConnection* lost) { on_unusable(weak, lost); });
}

std::vector<BackendPtr> BackendPool::sample_others(const std::string& excluded, size_t count) {
  std::vector<BackendPtr> sample;
  if (backends_.empty()) {
    return sample;
  }
  auto next = std::next(backends_.begin(), static_cast<std::ptrdiff_t>(random_.below(backends_.size())));
  for (size_t seen = 0; seen < backends_.size() && sample.size() < count; ++seen, ++next) {
    next = next == backends_.end() ? backends_.begin() : next;
    const fleet::BackendRecord& record = next->second->record;
    if (record.id != excluded && record.state == fleet::BackendState::kReady && !record.lost) {
      sample.push_back(next->second);
    }
  }
  return sample;
}

void BackendPool::probe(const BackendPtr& backend) {
  const TimePoint last_probe_at = backend->activity(path_to(*backend) == LinkPath::kRelayed).last_probe_at;
  if (backend->probe == nullptr && loop_.now() - last_probe_at >= kProbeInterval) {
    start_probe(backend);
  }
}

void BackendPool::check(const BackendPtr& backend) {
  if (backend->probe != nullptr && backend->probe->connected()) {
    end_probe(backend);  // it connected before the failure that is to be checked
  }
  if (backend->probe == nullptr) {
    backend->dropped_probes = 0;
    start_probe(backend);
  }
}

bool BackendPool::schedule_recheck(const BackendPtr& backend, const BackendConnection& probe) {
  if (backend->broken_exchanges.empty() || !probe.connected() ||
      ++backend->dropped_probes > kMaxDroppedProbes) {
    return false;
  }
  const std::weak_ptr<Backend> weak = backend;
  loop_.after(kRecheckDelay, [this, weak] {
    const BackendPtr checked = weak.lock();
    if (checked != nullptr && checked->probe == nullptr) {
      start_probe(checked);
    }
  });
  return true;
}

void BackendPool::start_probe(const BackendPtr& backend) {
  const LinkPath path = path_to(*backend);
  backend->activity(path == LinkPath::kRelayed).last_probe_at = loop_.now();
  const std::weak_ptr<Backend> weak = backend;
  backend->probe =
      open_connection(backend, path, [this, weak](BackendConnection* lost) { on_unusable(weak, lost); });
  if (backend->probe != nullptr) {
    const std::weak_ptr<BackendConnection> probe = backend->probe;
    loop_.after(path == LinkPath::kRelayed ? kRelayedProbeTimeout : kProbeTimeout, [this, weak, probe] {
      const BackendPtr probed = weak.lock();
      if (probed != nullptr && probed->probe != nullptr && probed->probe == probe.lock()) {
        end_probe(probed);
      }
    });
  }
}

bool BackendPool::is_sound(const Backend& backend) {
  const auto health = outliers_.handle_of(backend.record.id);
  return !backend.record.loading && !backend.record.lost &&
         delivery::OutlierDetector::usable(health, loop_.now());
}

void BackendPool::end_probe(const BackendPtr& backend) {
  const auto connection = std::exchange(backend->probe, nullptr);
  PathActivity& activity = backend->activity(connection->relayed());
  if (connection->connected() && connection->usable()) {
    activity.last_received_at = loop_.now();
    if (!connection->relayed()) {
      links_.on_connected(backend->record.id, loop_.now());
    }
    release(backend, connection);
    on_probe_ended_(backend, ProbeResult::kReached);
    return;
  }
  if (schedule_recheck(backend, *connection)) {
    discard(backend, connection);
    return;
  }
  const bool refused = connection->refused();
  const bool relayed = connection->relayed();
  const bool relay_failed = connection->relay_failed();
  discard(backend, connection);
  if (relay_failed) {
    on_probe_ended_(backend, ProbeResult::kRelayFailed);
    return;
  }
  activity.last_failed_probe_at = activity.last_probe_at;
  backend->last_unreached_at = loop_.now();
  if (!relayed) {
    verifier_.on_connect_failure(backend, refused);
  }
  on_probe_ended_(backend, refused && relayed ? ProbeResult::kRefused : ProbeResult::kUnanswered);
}

void BackendPool::on_unusable(const std::weak_ptr<Backend>& weak, BackendConnection* connection) {
  const BackendPtr backend = weak.lock();
  if (backend == nullptr) {
    return;
  }
  if (backend->probe.get() == connection) {
    end_probe(backend);
    return;
  }
  remove_idle(backend, connection);
}

void BackendPool::remove_idle(const BackendPtr& backend, BackendConnection* connection) {
  backend->connections -=
      std::erase_if(backend->idle, [connection](const auto& entry) { return entry.get() == connection; });
}

void BackendPool::release(const BackendPtr& backend, const std::shared_ptr<BackendConnection>& connection) {
  if (connection->usable() && backend->record.state == fleet::BackendState::kReady) {
    backend->idle.push_back(connection);
    return;
  }
  discard(backend, connection);
}

void BackendPool::discard(const BackendPtr& backend, const std::shared_ptr<BackendConnection>& connection) {
  connection->close();
  backend->connections -= backend->connections > 0 ? 1 : 0;
}

}  // namespace stoat::dispatch
