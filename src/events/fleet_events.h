/// Typed log events for changes in what a process knows of the fleet. docs/OPERATIONS.md explains each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/log.h"
#include "src/common/log_line.h"
#include "src/fleet/backend_record.h"

namespace stoat::events {

/// A new configuration is in force.
struct ConfigurationInForce {
  static constexpr const char* kMessage = "configuration in force";
  uint64_t version = 0;
  size_t routes = 0;
  size_t tenants = 0;
  int64_t build_ms = 0;  ///< time that it took to build the tables from it
  std::vector<LogField> fields() const {
    return {{"version", version}, {"routes", routes}, {"tenants", tenants}, {"build_ms", build_ms}};
  }
};

/// A control member has sent a router the last part of a configuration or of a change.
struct ConfigurationSent {
  static constexpr const char* kMessage = "configuration sent";
  std::string router;
  uint64_t version = 0;
  uint64_t base = 0;    ///< version that the change is for; 0: a whole configuration
  size_t bytes = 0;     ///< of the change or the whole
  size_t unsent = 0;    ///< bytes that are queued on the connection, with it
  uint32_t copies = 0;  ///< of this version on this connection, with this one
  std::vector<LogField> fields() const {
    return {{"router", router}, {"version", version}, {"base", base},
            {"bytes", bytes},   {"unsent", unsent},   {"copies", copies}};
  }
};

/// A router has read a configuration, or a change, that a control member sent.
struct ConfigurationReceived {
  static constexpr const char* kMessage = "configuration received";
  std::string member;
  uint64_t version = 0;
  uint64_t held = 0;         ///< version in force before; equal or higher: the configuration is of no use
  size_t bytes = 0;          ///< of the change or the whole; 0: sent unasked by a member of an earlier build
  int64_t announced_ms = 0;  ///< since the newest version was first announced to the router
  std::vector<LogField> fields() const {
    return {{"member", member},
            {"version", version},
            {"held", held},
            {"bytes", bytes},
            {"announced_ms", announced_ms}};
  }
};

/// A configuration that a router received does not match what a member announced. The router requests the
/// whole one.
struct ConfigurationMismatch {
  static constexpr const char* kMessage = "configuration does not match";
  std::string member;
  uint64_t held = 0;  ///< version in force
  std::string error;
  std::vector<LogField> fields() const { return {{"member", member}, {"held", held}, {"error", error}}; }
};

/// A message from another process could not be decoded. Its connection is closed if the type is known.
struct MessageUnreadable {
  static constexpr const char* kMessage = "message unreadable";
  std::string peer;  ///< host of the sender
  std::string tag;   ///< of the message's type, or "none"
  size_t bytes = 0;
  std::string error;
  uint64_t unlogged = 0;  ///< like this one, since the last line
  std::vector<LogField> fields() const {
    return {{"peer", peer}, {"tag", tag}, {"bytes", bytes}, {"error", error}, {"unlogged", unlogged}};
  }
};

/// The body of an HTTP message could not be read.
struct BodyUnreadable {
  static constexpr const char* kMessage = "body unreadable";
  std::string sender;
  std::string finding;    ///< the first one, with its place
  size_t findings = 0;    ///< how many there are
  uint64_t unlogged = 0;  ///< bodies like this one, since the last line
  std::vector<LogField> fields() const {
    return {{"sender", sender}, {"finding", finding}, {"findings", findings}, {"unlogged", unlogged}};
  }
};

/// A record of the replicated state could not be decoded.
struct RecordUnreadable {
  static constexpr const char* kMessage = "record unreadable";
  const char* kind = "";  ///< "entry" or "snapshot"
  uint64_t index = 0;     ///< of the entry, or of the last entry that the snapshot covers
  std::string tag;        ///< of the command, or "none"
  size_t bytes = 0;
  std::vector<LogField> fields() const {
    return {{"kind", kind}, {"index", index}, {"tag", tag}, {"bytes", bytes}};
  }
};

/// A target version of a model's weights was set.
struct TargetWeightsChanged {
  static constexpr const char* kMessage = "weights named";
  std::string model;
  uint64_t version = 0;
  int64_t age_ms = 0;  ///< since the version was set, as far as this process knows
  std::vector<LogField> fields() const {
    return {{"model", model}, {"version", version}, {"age_ms", age_ms}};
  }
};

/// A backend appeared, disappeared, or changed.
struct BackendChanged {
  static constexpr const char* kMessage = "backend changed";
  std::string backend;
  std::string service;
  std::string address;
  const char* change = "";
  uint64_t weights = 0;
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"service", service},
            {"address", address},
            {"change", change},
            {"weights", weights}};
  }
};

/// The replicated log says that a backend is leaving or gone.
struct BackendRetired {
  static constexpr const char* kMessage = "backend retired";
  std::string backend;
  bool is_gone = false;           ///< false: it is draining
  bool is_known = false;          ///< this member's registry has it
  std::string known_incarnation;  ///< the newest incarnation of its name that the registry has; empty: none
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"state", is_gone ? "gone" : "draining"},
            {"known", is_known},
            {"newest", known_incarnation}};
  }
};

/// A member that had just started, or did not know a backend, asked others which incarnation is running.
struct IncarnationLookedUp {
  static constexpr const char* kMessage = "incarnation looked up";
  std::string backend;      ///< as named by the call
  std::string incarnation;  ///< empty: none is known
  size_t asked = 0;         ///< routers and members
  size_t answered = 0;
  int64_t ms = 0;
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"incarnation", incarnation},
            {"asked", asked},
            {"answered", answered},
            {"ms", ms}};
  }
};

/// An overloaded backend set or changed its limit on the requests per second from all routers together, or
/// removed it.
struct BackendLimitChanged {
  static constexpr const char* kMessage = "backend limit changed";
  std::string backend;
  double per_second = 0;    ///< 0: no limit any more
  double before = 0;        ///< 0: no limit before
  const char* source = "";  ///< an "answer" to this router, or "control"
  std::vector<LogField> fields() const {
    return {{"backend", backend}, {"per_second", per_second}, {"before", before}, {"source", source}};
  }
};

/// A backend's limit can't be parsed, or only in part.
struct BackendLimitUnreadable {
  static constexpr const char* kMessage = "backend limit unreadable";
  std::string backend;
  std::string finding;
  std::vector<LogField> fields() const { return {{"backend", backend}, {"finding", finding}}; }
};

/// A backend refused a request and asked this router to send nothing for a while.
struct BackendBackoffStarted {
  static constexpr const char* kMessage = "backend rests";
  std::string backend;
  int64_t backoff_ms = 0;
  std::vector<LogField> fields() const { return {{"backend", backend}, {"rest_ms", backoff_ms}}; }
};

/// A backend announced in a response that it is shutting down: this router sends it no further requests.
struct BackendLeaving {
  static constexpr const char* kMessage = "backend leaving";
  std::string backend;
  std::vector<LogField> fields() const { return {{"backend", backend}}; }
};

/// A backend states in its responses that it falls over when it has to turn requests away, or no longer does.
struct BackendBrittleChanged {
  static constexpr const char* kMessage = "backend brittle";
  std::string backend;
  bool brittle = false;
  double rejections_per_second = 0;  ///< that it can turn away
  std::string finding;               ///< what is wrong with the number; empty: nothing
  const char* source = "";           ///< an "answer" to this router, or "control"
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"brittle", brittle},
            {"rejections_per_second", rejections_per_second},
            {"finding", finding},
            {"source", source}};
  }
};

/// A brittle backend turned a request away. States what this router knew of the backend at that time.
struct BrittleBackendRejected {
  static constexpr const char* kMessage = "brittle backend rejected";
  std::string backend;
  bool was_known = false;     ///< this router knew that the backend is brittle when it sent the request
  int64_t listed_ms = 0;      ///< time since this router learned of the backend
  uint32_t outstanding = 0;   ///< own requests there, the rejected one included
  uint32_t others = 0;        ///< requests of other routers there, as last reported
  int64_t others_age_ms = 0;  ///< age of that report
  uint32_t slots = 0;
  std::vector<LogField> fields() const {
    return {{"backend", backend},     {"was_known", was_known},
            {"listed_ms", listed_ms}, {"outstanding", outstanding},
            {"others", others},       {"others_age_ms", others_age_ms},
            {"slots", slots}};
  }
};

/// The time for which a backend asks for no requests can't be parsed, or only in part.
struct BackendRetryAfterUnreadable {
  static constexpr const char* kMessage = "backend rest unreadable";
  std::string backend;
  std::string finding;
  std::vector<LogField> fields() const { return {{"backend", backend}, {"finding", finding}}; }
};

/// What this router has sent to a limited backend since the previous event of this kind.
struct LimitedBackendUsed {
  static constexpr const char* kMessage = "limited backend used";
  std::string backend;
  double per_second = 0;  ///< for all routers together
  uint64_t sent = 0;
  int64_t span_ms = 0;
  std::vector<LogField> fields() const {
    return {{"backend", backend}, {"per_second", per_second}, {"sent", sent}, {"span_ms", span_ms}};
  }
};

/// What this router reaches over its own links has changed.
struct BackendReachChanged {
  static constexpr const char* kMessage = "reach of back ends changed";
  size_t unreached = 0;  ///< backends that do not answer on this router's own links
  size_t known = 0;
  bool cut_off = false;  ///< no backend answers
  size_t relays = 0;     ///< known routers that relay for this one
  int64_t since_ms = 0;  ///< since the first of them stopped to answer
  std::vector<LogField> fields() const {
    return {{"unreached", unreached},
            {"known", known},
            {"cut_off", cut_off},
            {"relays", relays},
            {"since_ms", since_ms}};
  }
};

/// A backend ended without signing off after requests broke off at it.
struct BackendCrashed {
  static constexpr const char* kMessage = "backend crashed";
  std::string backend;
  std::string service;
  const char* detected_by = "";  ///< "refused" (connection refused), "gone" or "lost" (reported by control)
  size_t broken = 0;             ///< requests of this router that broke off
  std::string requests;          ///< the first few of their fingerprints
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"service", service},
            {"sign", detected_by},
            {"broken", broken},
            {"requests", requests}};
  }
};

/// The standing of a request under which backends crash, or of a part of prompts, has changed.
struct RequestStandingChanged {
  static constexpr const char* kMessage = "request standing";
  std::string fingerprint;    ///< of the request, or the feature of the part
  const char* standing = "";  ///< "clear", "suspect" (tried one at a time) or "quarantined" (not sent)
  uint32_t crashes = 0;       ///< crashes that count against the request
  int64_t left_ms = 0;        ///< until the quarantine ends
  const char* source = "";    ///< a "break", a "crash" or a "good end" at this router, or "control"
  std::vector<LogField> fields() const {
    return {{"fingerprint", fingerprint},
            {"standing", standing},
            {"crashes", crashes},
            {"left_ms", left_ms},
            {"source", source}};
  }
};

/// Access keys are accepted from now on, or no longer.
struct KeyLeaseChanged {
  static constexpr const char* kMessage = "key lease changed";
  bool held = false;
  int64_t left_ms = 0;  ///< until the lease ends; negative: the time since it ended
  std::vector<LogField> fields() const { return {{"held", held}, {"left_ms", left_ms}}; }
};

/// A control member responds, or has stopped responding.
struct ControlMemberChanged {
  static constexpr const char* kMessage = "control member changed";
  std::string member;
  bool reached = false;
  int64_t time_since_message_ms = 0;
  std::vector<LogField> fields() const {
    return {{"member", member}, {"reached", reached}, {"silent_ms", time_since_message_ms}};
  }
};

/// Another control member is the leader.
struct LeaderChanged {
  static constexpr const char* kMessage = "leader changed";
  std::string from;
  std::string to;
  std::vector<LogField> fields() const { return {{"from", from}, {"to", to}}; }
};

/// A router takes its feed of the fleet's state from another control member.
struct FeedChanged {
  static constexpr const char* kMessage = "feed changed";
  std::string from;  ///< internal address; empty: none
  std::string to;
  std::vector<LogField> fields() const { return {{"from", from}, {"to", to}}; }
};

/// The KV cache store responds, or has stopped responding.
struct KvCacheStoreChanged {
  static constexpr const char* kMessage = "store changed";
  std::string from;  ///< address; empty: none
  std::string to;
  std::vector<LogField> fields() const { return {{"from", from}, {"to", to}}; }
};

/// The control plane has subscribed to the events of a cache, starting with its present state, or can't reach
/// the cache any more.
struct CacheSubscriptionChanged {
  static constexpr const char* kMessage = "cache followed";
  std::string holder;     ///< id of the backend, or address of a store
  bool followed = false;  ///< false: the cache's content is no longer known
  std::vector<LogField> fields() const { return {{"holder", holder}, {"followed", followed}}; }
};

/// Bytes sent by this process to other processes of the system over one distance since the previous event of
/// this kind.
struct BytesSent {
  static constexpr const char* kMessage = "bytes sent";
  std::string distance;  ///< "zone", "region" (another zone of it) or "regions" (another region)
  std::string bytes;     ///< by purpose
  std::vector<LogField> fields() const { return {{"distance", distance}, {"bytes", bytes}}; }
};

/// A periodic call of a control member came late, since its event loop was busy. While it is late,
/// nothing is answered, heartbeats of the replicated log included.
struct LoopLate {
  static constexpr const char* kMessage = "loop late";
  int64_t late_ms = 0;
  int64_t since_ms = 0;   ///< time since the previous event of this kind, or since the start
  std::string busy;       ///< processor time by kind of work in that time, in ms
  size_t feeds = 0;       ///< routers that follow this member
  size_t full_feeds = 0;  ///< of them, those that have not been sent the full state yet
  std::vector<LogField> fields() const {
    return {{"late_ms", late_ms},
            {"since_ms", since_ms},
            {"busy", busy},
            {"feeds", feeds},
            {"full_feeds", full_feeds}};
  }
};

/// Another member had missed updates, and this member sent it the full state that originates here.
struct FullStateSent {
  static constexpr const char* kMessage = "whole sent";
  std::string member;
  size_t bytes = 0;
  std::vector<LogField> fields() const { return {{"member", member}, {"bytes", bytes}}; }
};

/// A tenant is close to its quota, so that routers admit only what is left of it, or is no longer close to
/// it.
struct TenantMeteringChanged {
  static constexpr const char* kMessage = "tenant metered";
  std::string tenant;
  bool metered = false;
  int64_t left = 0;          ///< over all routers, in the quota's unit
  double unheard_share = 0;  ///< share of the routers whose spending is not being reported
  std::vector<LogField> fields() const {
    return {{"tenant", tenant}, {"metered", metered}, {"left", left}, {"unheard_share", unheard_share}};
  }
};

/// A router reports its state for the first time, becomes ready or not ready, or has stopped sending reports.
struct RouterChanged {
  static constexpr const char* kMessage = "router changed";
  std::string router;
  const char* change = "";
  uint64_t configuration_version = 0;
  std::vector<LogField> fields() const {
    return {{"router", router}, {"change", change}, {"version", configuration_version}};
  }
};

/// The list of control members has changed.
struct MembersChanged {
  static constexpr const char* kMessage = "members changed";
  size_t voters = 0;
  size_t learners = 0;
  std::string members;  ///< internal addresses; learners in parentheses
  std::vector<LogField> fields() const {
    return {{"voters", voters}, {"learners", learners}, {"members", members}};
  }
};

/// The software versions of a service at which a stream that is still alive may have begun have changed at
/// this control member, which names them to routers that resume a stream.
struct ServiceVersionsChanged {
  static constexpr const char* kMessage = "service versions";
  std::string service;
  std::string versions;       ///< separated by commas; "-" stands for backends that report none
  int64_t answers_in_ms = 0;  ///< until routers are told; above 0 after a restart
  std::vector<LogField> fields() const {
    return {{"service", service}, {"versions", versions}, {"answers_in_ms", answers_in_ms}};
  }
};

/// Many backends changed in the same way at once: one line in place of one each.
struct BackendsChanged {
  static constexpr const char* kMessage = "backends changed";
  const char* change = "";
  size_t count = 0;
  std::string backends;  ///< the first few
  std::vector<LogField> fields() const {
    return {{"change", change}, {"count", count}, {"backends", backends}};
  }
};

/// Appends the changes of one backend to `changes`. `before` is nullptr if the backend was not known, `after`
/// if it is no longer known.
void add_backend_changes(const fleet::BackendRecord* before, const fleet::BackendRecord* after,
                         std::vector<BackendChanged>& changes);

/// Logs changes: a few of one kind in a line each, many in one line with their count.
void log_backend_changes(const Logger& log, const std::vector<BackendChanged>& changes);

}  // namespace stoat::events
