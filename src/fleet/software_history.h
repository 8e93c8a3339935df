/// The software versions of each service's backends, now and as long ago as a stream may have begun.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/stream_record.h"

namespace stoat::fleet {

/// How long a version is remembered after its last backend is gone: longer than any stream lives under this
/// configuration.
Duration software_retention(const FleetConfiguration& configuration);

/// Counts backends by service and version, and remembers the versions without backends for a while.
class SoftwareHistory {
 public:
  void put(const BackendRecord& record);
  void erase(const std::string& id, TimePoint now);
  /// Adds the versions that are not known yet, as if their last backends had gone now.
  void restore(const std::vector<ServiceSoftware>& services, TimePoint now);
  /// Forgets versions that have had no backend for longer than the retention.
  void expire(TimePoint now);
  void set_retention(Duration retention) { retention_ = retention; }
  /// The known versions of a service.
  std::set<std::string> versions(const std::string& service) const;
  /// All services with their known versions.
  std::vector<ServiceSoftware> services() const;
  /// The services with several known versions.
  std::vector<ServiceSoftware> mixed_services() const;
  /// Changes when versions() of any service does.
  uint64_t revision() const { return revision_; }

 private:
  using Version = std::pair<std::string, std::string>;  ///< service and software
  struct VersionState {
    size_t backends = 0;
    TimePoint last_gone_at{0};  ///< valid while there are no backends
  };
  void remove_backend(const Version& version, TimePoint now);

  Duration retention_{std::chrono::minutes(1)};
  std::map<std::string, Version> backends_;  ///< by id
  std::map<Version, VersionState> versions_;
  uint64_t revision_ = 0;
};

}  // namespace stoat::fleet
