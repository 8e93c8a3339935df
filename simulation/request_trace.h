/// Prints what happens to one request of a simulated run, and the faults around it, for the search of a
/// seed's cause.
#pragma once

#include <ostream>
#include <string>

#include "src/common/time.h"
#include "src/control/command.h"
#include "src/router/router_action.h"

namespace stoat::simulation {

/// Writes nothing unless it has a request to follow.
class RequestTrace {
 public:
  /// `request_id`: 0 follows none.
  RequestTrace(uint64_t request_id, std::ostream& output) : request_id_(request_id), output_(output) {}

  /// A message between a sidecar and a router.
  void message(TimePoint now, const std::string& from, const std::string& to, const wire::Message& message);
  /// A router calls a back end.
  void call(TimePoint now, const std::string& router, const router::StartCall& call);
  /// A call ends at the back end; the router hears of it later.
  void call_end(TimePoint now, const std::string& router, uint64_t request_id,
                const router::CallResult& result);
  /// A command about a claim was applied. Claims are followed by the key of the request, once it was seen.
  void command(TimePoint now, const std::string& router, const control::Command& command,
               const control::CommandResult& result);
  /// A fault or a repair.
  void fault(TimePoint now, const std::string& what);

 private:
  void line(TimePoint now, const std::string& text);

  uint64_t request_id_;
  std::string key_;
  std::ostream& output_;
};

}  // namespace stoat::simulation
