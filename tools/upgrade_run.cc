#include "tools/upgrade_run.h"

#include <algorithm>

namespace stoat::tools {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr Duration kProbeInterval = 200ms;
constexpr Duration kAcknowledgementTimeout = 1s;
/// A router is probed once it has run for this long, and control members have for this long.
constexpr Duration kSettleTime = 3s;
constexpr char kConstantRoute[] = "/search/";

std::string route_path(uint64_t version) { return "/added-" + std::to_string(version) + "/"; }

class UpgradeRun {
 public:
  UpgradeRun(ProcessFleet& processes, LoopbackFleet& fleet, const UpgradePlan& plan)
      : processes_(processes),
        fleet_(fleet),
        plan_(plan),
        document_(fleet.make_configuration()),
        routers_(fleet.names_of("router")) {
    version_ = document_["version"].get<uint64_t>();
    result_.acknowledged_version = version_;
  }

  UpgradeResult run() {
    started_ = monotonic_now();
    for (const std::string& router : routers_) {
      router_started_[router] = started_;
    }
    const Duration end = plan_.replacement_interval * static_cast<int64_t>(plan_.replacements.size()) +
                         plan_.down_time + plan_.time_after;
    while (elapsed() < end) {
      advance_replacements();
      put_next_configuration();
      probe_routers();
      sleep_for(kProbeInterval);
    }
    const nlohmann::json read = fleet_.read_configuration();
    result_.has_newest_configuration =
        read.is_object() && read.value("version", uint64_t{0}) == result_.acknowledged_version;
    return result_;
  }

 private:
  Duration elapsed() const { return monotonic_now() - started_; }

  void advance_replacements() {
    if (!stopping_.empty() && elapsed() >= restart_at_) {
      const Replacement& replacement = plan_.replacements[next_replacement_ - 1];
      processes_.kill(stopping_);
      processes_.set_bin_folder(stopping_, replacement.bin_folder);
      processes_.start(stopping_);
      router_started_[stopping_] = monotonic_now();
      stopping_.clear();
    }
    if (stopping_.empty() && next_replacement_ < plan_.replacements.size() &&
        elapsed() >= plan_.replacement_interval * static_cast<int64_t>(next_replacement_)) {
      stopping_ = plan_.replacements[next_replacement_++].process;
      processes_.request_stop(stopping_);
      restart_at_ = elapsed() + plan_.down_time;
    }
  }

  void put_next_configuration() {
    if (plan_.configuration_interval == Duration(0) || elapsed() < next_configuration_at_) {
      return;
    }
    next_configuration_at_ = elapsed() + plan_.configuration_interval;
    nlohmann::json next = document_;
    next["version"] = ++version_;
    nlohmann::json added = document_["routes"][2];
    added["name"] = "added-" + std::to_string(version_);
    added["path_prefix"] = route_path(version_);
    next["routes"].push_back(added);
    if (fleet_.put_configuration(next.dump(), kAcknowledgementTimeout)) {
      result_.acknowledged_version = version_;
      acknowledged_at_ = monotonic_now();
    }
  }

  int probe(size_t router, const std::string& path) const {
    return fleet_.send_to_router(router, path, "probe-" + std::to_string(result_.probes) + path).status;
  }

  void probe_routers() {
    for (size_t position = 0; position < routers_.size(); ++position) {
      const std::string& router = routers_[position];
      if (router == stopping_ || monotonic_now() - router_started_[router] < kSettleTime) {
        continue;
      }
      ++result_.probes;
      result_.served += probe(position, kConstantRoute) == kOk ? 1 : 0;
      check_version(position);
    }
  }

  void check_version(size_t position) {
    const uint64_t version = result_.acknowledged_version;
    const bool newest_is_acknowledged = version == version_;
    if (acknowledged_at_ == TimePoint(0) || !newest_is_acknowledged ||
        monotonic_now() - acknowledged_at_ <= kConfigurationLimit) {
      return;
    }
    ++result_.version_checks;
    if (probe(position, route_path(version)) == kNotFound) {
      violate(position, "refuses the route of version " + std::to_string(version));
    }
    if (probe(position, route_path(version - 1)) == kOk) {
      violate(position, "serves the route that version " + std::to_string(version) + " dropped");
    }
  }

  void violate(size_t position, const std::string& what) {
    result_.violations.push_back(std::to_string(to_milliseconds(elapsed())) + " ms: " + routers_[position] +
                                 " " + what);
  }

  ProcessFleet& processes_;
  LoopbackFleet& fleet_;
  const UpgradePlan& plan_;
  nlohmann::json document_;
  std::vector<std::string> routers_;
  UpgradeResult result_;
  TimePoint started_{0};
  std::map<std::string, TimePoint> router_started_;
  std::string stopping_;
  Duration restart_at_{0};
  size_t next_replacement_ = 0;
  uint64_t version_ = 0;  ///< of the newest configuration that was sent
  Duration next_configuration_at_{0};
  TimePoint acknowledged_at_{0};
};

}  // namespace

UpgradeResult run_upgrade(ProcessFleet& processes, LoopbackFleet& fleet, const UpgradePlan& plan) {
  return UpgradeRun(processes, fleet, plan).run();
}

}  // namespace stoat::tools
