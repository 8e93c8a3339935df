/// What may happen to a request at a router, as typed events for the log. docs/OPERATIONS.md explains each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/log_line.h"

namespace stoat::events {

/// The request came in and its route and tenant were found.
struct RequestAccepted {
  static constexpr const char* kMessage = "request accepted";
  std::string route;
  std::string service;
  std::string tenant;
  uint64_t configuration_version = 0;
  int64_t time_left_ms = 0;  ///< until the caller or the route gives it up
  uint32_t prompt_tokens = 0;
  std::string fingerprint = {};  ///< the same for a request that comes again under another id
  std::vector<LogField> fields() const {
    return {{"route", route},
            {"service", service},
            {"tenant", tenant},
            {"version", configuration_version},
            {"time_left_ms", time_left_ms},
            {"prompt_tokens", prompt_tokens},
            {"fingerprint", fingerprint}};
  }
};

/// No back end can take it now; it waits a little for one.
struct RequestWaitingForBackend {
  static constexpr const char* kMessage = "request waits";
  uint32_t known = 0;    ///< back ends of the service
  uint32_t tried = 0;    ///< of them: have had this request
  uint32_t loading = 0;  ///< of them: load weights
  uint32_t limited = 0;  ///< of them: have limits, and no permit is there
  std::vector<LogField> fields() const {
    return {{"known", known}, {"tried", tried}, {"loading", loading}, {"limited", limited}};
  }
};

/// All engines that may take it have queues; it waits at the router for a slot.
struct RequestQueued {
  static constexpr const char* kMessage = "request waits for a slot";
  int64_t wait_ms = 0;     ///< expected at the engine that has room first
  double taken_share = 0;  ///< slots taken over slots
  uint32_t queued = 0;     ///< requests that waited before it
  std::vector<LogField> fields() const {
    return {{"wait_ms", wait_ms}, {"taken_share", taken_share}, {"queued", queued}};
  }
};

/// It was sent to a back end.
struct RequestSent {
  static constexpr const char* kMessage = "request sent";
  std::string backend;
  uint32_t candidates = 0;
  uint32_t outstanding = 0;     ///< requests under way there before it
  uint64_t queued_tokens = 0;   ///< prompt tokens waiting to be read there before it
  uint64_t missing_tokens = 0;  ///< of its prompt that are not known to be held there
  int64_t expected_ms = 0;      ///< from this send to the first event
  uint64_t weights = 0;
  std::string cache_source;     ///< address; empty: none
  std::string copy_of;          ///< the run that it goes on from; empty: a run from the start
  std::string distance;         ///< of the back end from this router
  std::string source_distance;  ///< of the cache's source from the back end; empty: no source
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"candidates", candidates},
            {"outstanding", outstanding},
            {"queued_tokens", queued_tokens},
            {"missing_tokens", missing_tokens},
            {"expected_ms", expected_ms},
            {"weights", weights},
            {"cache_source", cache_source},
            {"copy_of", copy_of},
            {"distance", distance},
            {"source_distance", source_distance}};
  }
};

/// A back end said that it did not run it, or no connection was made.
struct RequestNotRun {
  static constexpr const char* kMessage = "request not run";
  std::string backend;
  int status = 0;  ///< 0: no connection
  std::vector<LogField> fields() const { return {{"backend", backend}, {"status", status}}; }
};

/// The exchange with a back end broke.
struct ExchangeFailed {
  static constexpr const char* kMessage = "exchange failed";
  std::string backend;
  const char* failure = "";
  bool streaming = false;  ///< events had gone to the caller
  bool ejected = false;    ///< the back end gets no requests for a while now
  std::vector<LogField> fields() const {
    return {{"backend", backend}, {"failure", failure}, {"streaming", streaming}, {"ejected", ejected}};
  }
};

/// It was not sent: back ends crashed under requests with its fingerprint.
struct RequestQuarantined {
  static constexpr const char* kMessage = "request held back";
  std::string fingerprint;
  uint32_t crashes = 0;  ///< that count against it
  int64_t left_ms = 0;   ///< of its quarantine
  std::vector<LogField> fields() const {
    return {{"fingerprint", fingerprint}, {"crashes", crashes}, {"left_ms", left_ms}};
  }
};

/// It may not, or can't, be sent again.
struct RequestNotRetried {
  static constexpr const char* kMessage = "request not sent again";
  const char* reason = "";
  std::vector<LogField> fields() const { return {{"reason", reason}}; }
};

/// The run could not go on from its copy at another engine.
struct KvCacheCopyNotUsed {
  static constexpr const char* kMessage = "copy not used";
  std::string backend;
  const char* reason = "";
  uint64_t weights = 0;
  std::vector<LogField> fields() const {
    return {{"backend", backend}, {"reason", reason}, {"weights", weights}};
  }
};

/// The final answer has gone to the caller, or the caller has left.
struct RequestEnded {
  static constexpr const char* kMessage = "request ended";
  std::string outcome;
  int status = 0;  ///< 0: none, the connection was closed
  uint32_t backends = 0;
  uint32_t refusals = 0;
  int64_t total_ms = 0;
  int64_t first_event_ms = -1;     ///< -1: there was none
  int64_t expected_first_ms = -1;  ///< expected when it was last sent, from its arrival; -1: never sent
  int64_t longest_pause_ms = 0;
  bool late = false;  ///< beyond the route's objective
  std::vector<LogField> fields() const {
    return {{"outcome", outcome},
            {"status", status},
            {"backends", backends},
            {"refusals", refusals},
            {"ms", total_ms},
            {"first_event_ms", first_event_ms},
            {"expected_first_ms", expected_first_ms},
            {"longest_pause_ms", longest_pause_ms},
            {"late", late}};
  }
};

/// It was answered without being sent: no route, no key, or the router can't serve.
struct RequestRejected {
  static constexpr const char* kMessage = "request turned away";
  int status = 0;
  const char* reason = "";
  uint64_t configuration_version = 0;
  int64_t keys_left_ms = 0;  ///< how long keys are still honoured; negative: since when not
  std::string tenant;        ///< empty: not known
  std::vector<LogField> fields() const {
    return {{"status", status},
            {"reason", reason},
            {"version", configuration_version},
            {"keys_left_ms", keys_left_ms},
            {"tenant", tenant}};
  }
};

}  // namespace stoat::events
