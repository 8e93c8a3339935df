/// Finds out which incarnation of a backend is running when a call names the backend without its start time.
/// A member that has just started can't tell from its own registry, which lacks the backends that have not
/// sent a heartbeat since; routers and other members may know them. Free of I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/incarnation_messages.h"

namespace stoat::control {

/// How a lookup ended.
struct IncarnationLookupResult {
  std::string id;       ///< the newest incarnation that was named; empty: none
  size_t asked = 0;     ///< routers and members
  size_t answered = 0;  ///< of these
  Duration taken{0};
};

/// The lookups in progress at one member.
class IncarnationLookup {
 public:
  using Callback = std::function<void(const IncarnationLookupResult&)>;

  /// Starts a lookup, or joins the one of the same name. Returns false if there are too many.
  bool start(const std::string& name, Callback on_end, TimePoint now);
  bool in_progress() const { return !lookups_.empty(); }
  /// The request to a process for the names that it has not been asked for; nullopt if there are none.
  std::optional<fleet::IncarnationRequest> make_request(const std::string& process);
  /// The connection to a process has ended: what was asked on it may be lost.
  void on_connection_ended(const std::string& process);
  void on_response(const fleet::IncarnationResponse& response);
  /// Ends the lookups that have found an incarnation, and those that have taken too long.
  void end_due(TimePoint now);

 private:
  struct Lookup {
    std::vector<Callback> callbacks;
    TimePoint started_at{0};
    std::string newest_id;
    std::set<std::string> asked;
    std::set<std::string> unanswered;
  };
  struct SentRequest {
    std::string process;
    std::vector<std::string> names;
  };
  static bool is_due(const Lookup& lookup, TimePoint now);

  std::map<std::string, Lookup> lookups_;          ///< by name
  std::map<uint64_t, SentRequest> sent_requests_;  ///< without an answer, by number
  uint64_t last_number_ = 0;
};

}  // namespace stoat::control
