/// A small deployment of the served programs on loopback: control members, routers, engines and a plain
/// service, with the configuration of scripts/demo.json. For the soak and the process tests.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "tools/load_generator.h"
#include "tools/process_fleet.h"

namespace stoat::tools {

/// How many processes of each kind.
struct ServedFleetOptions {
  uint32_t controls = 3;
  uint32_t routers = 2;
  uint32_t engines = 3;
  uint32_t services = 2;
  std::string configuration_file;
  std::string software;           ///< version of the plain service's program; empty: not told
  uint32_t limited_services = 0;  ///< the first so many back ends of the plain service name a limit
  double rate_limit = 0;          ///< in requests a second
  std::string crash_on;           ///< plain services crash under bodies that contain this; empty: under none
};

/// See the head of this file. Names: control-1, router-1, engine-1, service-1 and so on.
class ServedFleet {
 public:
  ServedFleet(ProcessFleet& processes, const ServedFleetOptions& options);

  /// Starts all and waits until every router and back end is known to control. Throws std::runtime_error when
  /// that takes too long.
  void start();
  /// Starts another back end of the plain service, which tells control this version of its program. Each
  /// `fails_each`-th call to it fails; 0: none.
  void start_service(const std::string& name, const std::string& software, uint32_t fails_each);
  /// Puts a document in force; false when it was not acknowledged within `limit`.
  bool put_configuration(const std::string& document, Duration limit = Duration(10s)) const;
  /// The status that the member that leads tells; null when none leads.
  nlohmann::json status_of_leader() const;
  /// The name of the leading control member; empty when there is none.
  std::string leader() const;
  /// Waits until `condition` holds; false after `limit`.
  static bool wait_until(const std::function<bool()>& condition, Duration limit);
  /// True when this many routers and ready back ends are known to the leader.
  bool knows(size_t routers, size_t backends) const;
  LoadTarget target() const;
  const std::vector<Endpoint>& admin_endpoints() const { return admin_; }
  std::vector<std::string> names_of(const std::string& kind) const;
  /// Ids of requests that began to run, as often as they did, over all back ends and their kills.
  std::multiset<std::string> runs() const;
  /// The same of one back end.
  std::multiset<std::string> runs_at(const std::string& name) const;

 private:
  void add_controls();
  void add_routers();
  /// `rate_limit`: requests a second that it names as its limit; 0: it names none.
  void add_backend(const std::string& name, const std::string& service, bool engine, double rate_limit = 0);
  std::string runs_file(const std::string& name) const;

  ProcessFleet& processes_;
  ServedFleetOptions options_;
  std::vector<Endpoint> admin_;
  std::vector<Endpoint> routers_;
  std::vector<std::string> controls_;  ///< names
  std::string seeds_;                  ///< as a setting
  std::vector<std::string> backends_;  ///< names
};

/// What must hold of the answers, whatever failed: no wrong answer, no request refused that has run, none run
/// more often than its route allows. One line for each violation.
std::vector<std::string> check_promises(const std::vector<RequestClass>& classes,
                                        const std::vector<RequestRecord>& records,
                                        const std::multiset<std::string>& runs);

}  // namespace stoat::tools
