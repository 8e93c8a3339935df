/// GatewayServer: back ends that crash, and the requests that were under way there.
#include <utility>

#include "src/common/hash.h"
#include "src/events/fleet_events.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

/// Fingerprints that the log names of one crash.
constexpr size_t kMostNamed = 8;

std::string to_text(const std::vector<uint64_t>& fingerprints) {
  std::string text;
  for (size_t position = 0; position < std::min(kMostNamed, fingerprints.size()); ++position) {
    text += (position == 0 ? "" : ",") + to_hex(fingerprints[position]);
  }
  return text;
}

}  // namespace

void GatewayServer::on_probe_ended(const dispatch::BackendPtr& backend, dispatch::ProbeResult result) {
  const std::vector<uint64_t> broken = std::exchange(backend->broken, {});
  if (result == dispatch::ProbeResult::kRefused && !broken.empty()) {
    metrics_.count("stoat_router_backend_crashes_total", {{"service", backend->record.service}});
    if (stories_.take_lines(1, "backend crashed", loop_.now())) {
      log_.event(events::BackendCrashed{backend->record.id, backend->record.service, broken.size(),
                                        to_text(broken)});
    }
  }
  if (result != dispatch::ProbeResult::kReached) {
    check_silence();
  }
}

}  // namespace stoat::gateway
