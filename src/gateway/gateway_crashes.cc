/// Part of GatewayServer: backends that crash, and the requests that were in flight there.
#include <algorithm>
#include <set>
#include <utility>

#include "src/common/hash.h"
#include "src/dispatch/health_check.h"
#include "src/events/fleet_events.h"
#include "src/fleet/incarnation.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

/// Maximum number of fingerprints logged for one crash.
constexpr size_t kMaxLoggedFingerprints = 8;
/// Delay from the end of a probe or health check to the next probe, while it is unknown whether the backend
/// crashed.
constexpr Duration kOutcomeCheckInterval = 500ms;

}  // namespace

void GatewayServer::on_probe_ended(const dispatch::BackendPtr& backend, dispatch::ProbeResult result) {
  if (result == dispatch::ProbeResult::kRefused) {
    confirm_crash(*backend, "refused");
  }
  if (!backend->broken_exchanges.empty()) {
    check_outcome(backend, result);
  }
  if (result != dispatch::ProbeResult::kReached) {
    check_silence();
  }
}

void GatewayServer::check_outcome(const dispatch::BackendPtr& backend, dispatch::ProbeResult result) {
  if (std::exchange(backend->outcome_check_pending, true)) {
    return;
  }
  if (result == dispatch::ProbeResult::kReached) {
    check_health(backend);
  } else {
    schedule_outcome_check(backend);
  }
}

void GatewayServer::check_health(const dispatch::BackendPtr& backend) {
  const TimePoint sent_at = loop_.now();
  const auto on_end = [this, backend, sent_at](bool answered) {
    if (answered) {
      dispatch::note_survival(context_, *backend, sent_at);
    }
    schedule_outcome_check(backend);
  };
  dispatch::HealthCheck::start(loop_, pool_, backend, health_check_head(*backend), on_end);
}

void GatewayServer::schedule_outcome_check(const dispatch::BackendPtr& backend) {
  const std::weak_ptr<dispatch::Backend> weak = backend;
  loop_.after(kOutcomeCheckInterval, [this, weak] {
    const dispatch::BackendPtr checked = weak.lock();
    if (checked == nullptr) {
      return;
    }
    checked->outcome_check_pending = false;
    const TimePoint now = loop_.now();
    const auto unconfirmed = [now](const dispatch::BrokenExchange& exchange) {
      return now - exchange.at < admission::kUnconfirmedCrashTimeout;
    };
    const bool outcome_unknown =
        std::any_of(checked->broken_exchanges.begin(), checked->broken_exchanges.end(), unconfirmed);
    if (outcome_unknown && !checked->ended_unexpectedly) {
      pool_.check(checked);
    }
  });
}

std::string GatewayServer::health_check_head(const dispatch::Backend& backend) const {
  std::string path;
  if (route_table_ != nullptr) {
    const auto& services = route_table_->configuration().services;
    const auto found = std::find_if(services.begin(), services.end(), [&](const fleet::Service& service) {
      return service.name == backend.record.service;
    });
    path = found == services.end() ? "" : found->health_path;
  }
  return "GET " + (path.empty() ? "/" : path) + " HTTP/1.1\r\nHost: " + backend.record.address + "\r\n" +
         names_.expected_backend + ": " + std::string(fleet::backend_name(backend.record.id)) + "\r\n\r\n";
}

void GatewayServer::confirm_crash(dispatch::Backend& backend, const char* detected_by) {
  const TimePoint now = loop_.now();
  std::vector<uint64_t> broken;
  std::set<uint64_t> features;
  for (const dispatch::BrokenExchange& exchange : std::exchange(backend.broken_exchanges, {})) {
    if (now - exchange.at < admission::kUnconfirmedCrashTimeout) {
      broken.push_back(exchange.request);
      features.insert(exchange.request);
      features.insert(exchange.parts.begin(), exchange.parts.end());
    }
  }
  if (broken.empty()) {
    return;
  }
  metrics_.count("stoat_router_backend_crashes_total",
                 {{"service", backend.record.service}, {"sign", detected_by}});
  if (request_log_sampler_.reserve_lines(1, "backend crashed", now)) {
    log_.event(events::BackendCrashed{backend.record.id, backend.record.service, detected_by, broken.size(),
                                      to_hex(broken, kMaxLoggedFingerprints)});
  }
  for (const uint64_t feature : features) {
    if (context_.crashes.note_crash(feature, backend.record.id, now)) {
      log_standing(feature, "crash");
    }
  }
}

void GatewayServer::merge_crash_records(const std::vector<fleet::CrashRecord>& records) {
  for (const fleet::CrashRecord& record : records) {
    if (context_.crashes.merge(record, loop_.now())) {
      log_standing(record.request, "control");
    }
  }
}

void GatewayServer::log_standing(uint64_t feature, const char* source) {
  const TimePoint now = loop_.now();
  const admission::StandingReason reason = context_.crashes.standing(feature, now);
  const bool single_local_crash =
      reason.crashes <= 1 && std::string_view(source) != "control" && std::string_view(source) != "good end";
  if (!single_local_crash && request_log_sampler_.reserve_lines(1, "request standing", now)) {
    log_.event(events::RequestStandingChanged{to_hex(feature), admission::to_text(reason.standing),
                                              reason.crashes, to_milliseconds(reason.left), source});
  }
}

void GatewayServer::expire_crash_records() {
  const TimePoint now = loop_.now();
  for (const uint64_t feature : context_.crashes.expire(now)) {
    context_.limits.forget(admission::trial_key(feature));
  }
  size_t suspects = 0;
  size_t quarantined = 0;
  for (const uint64_t feature : context_.crashes.features()) {
    const admission::RequestStanding standing = context_.crashes.standing(feature, now).standing;
    suspects += standing == admission::RequestStanding::kSuspect ? 1 : 0;
    quarantined += standing == admission::RequestStanding::kQuarantined ? 1 : 0;
  }
  metrics_.set("stoat_router_suspect_requests", static_cast<double>(suspects));
  metrics_.set("stoat_router_quarantined_requests", static_cast<double>(quarantined));
}

}  // namespace stoat::gateway
