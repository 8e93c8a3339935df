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
    note_crash(*backend, broken);
  }
  if (result != dispatch::ProbeResult::kReached) {
    check_silence();
  }
}

void GatewayServer::note_crash(const dispatch::Backend& backend, const std::vector<uint64_t>& broken) {
  const TimePoint now = loop_.now();
  metrics_.count("stoat_router_backend_crashes_total", {{"service", backend.record.service}});
  if (stories_.take_lines(1, "backend crashed", now)) {
    log_.event(
        events::BackendCrashed{backend.record.id, backend.record.service, broken.size(), to_text(broken)});
  }
  for (const uint64_t request : broken) {
    if (context_.crashes.note_crash(request, backend.record.id, now)) {
      log_standing(request, "crash");
    }
  }
}

void GatewayServer::take_crashes(const std::vector<fleet::CrashRecord>& records) {
  for (const fleet::CrashRecord& record : records) {
    if (context_.crashes.merge(record, loop_.now())) {
      log_standing(record.request, "control");
    }
  }
}

void GatewayServer::log_standing(uint64_t request, const char* source) {
  const TimePoint now = loop_.now();
  const admission::StandingReason reason = context_.crashes.standing(request, now);
  const bool first_crash = reason.crashes == 1 && std::string_view(source) == "crash";
  if (!first_crash && stories_.take_lines(1, "request standing", now)) {
    log_.event(events::RequestStandingChanged{to_hex(request), admission::to_text(reason.standing),
                                              reason.crashes, to_milliseconds(reason.left), source});
  }
}

void GatewayServer::keep_crashes() {
  const TimePoint now = loop_.now();
  for (const uint64_t request : context_.crashes.expire(now)) {
    context_.limits.forget(admission::trial_key(request));
  }
  size_t suspects = 0;
  size_t quarantined = 0;
  for (const uint64_t request : context_.crashes.requests()) {
    const admission::RequestStanding standing = context_.crashes.standing(request, now).standing;
    suspects += standing == admission::RequestStanding::kSuspect ? 1 : 0;
    quarantined += standing == admission::RequestStanding::kQuarantined ? 1 : 0;
  }
  metrics_.set("stoat_router_suspect_requests", static_cast<double>(suspects));
  metrics_.set("stoat_router_quarantined_requests", static_cast<double>(quarantined));
}

}  // namespace stoat::gateway
