/// Typed log events for a request's life at a router. docs/OPERATIONS.md explains each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/log_line.h"

namespace stoat::events {

/// The request arrived and its route and tenant were found.
struct RequestAccepted {
  static constexpr const char* kMessage = "request accepted";
  std::string route;
  std::string service;
  std::string tenant;
  uint64_t configuration_version = 0;
  int64_t time_left_ms = 0;  ///< until the timeout of the client or the route
  uint32_t prompt_tokens = 0;
  std::string fingerprint = {};  ///< the same for a request that is repeated under another id
  std::string resumes = {};      ///< id of the attempt that began the stream; empty: not stated
  int64_t last_event_id = -1;    ///< of the event after which the stream is to be resumed; -1: from the start
  std::string parts = {};        ///< features of the prompt's parts that other requests may share
  std::vector<LogField> fields() const {
    return {{"route", route},
            {"service", service},
            {"tenant", tenant},
            {"version", configuration_version},
            {"time_left_ms", time_left_ms},
            {"prompt_tokens", prompt_tokens},
            {"fingerprint", fingerprint},
            {"resumes", resumes},
            {"last_event_id", last_event_id},
            {"parts", parts}};
  }
};

/// No backend can accept the request now; it waits a short time for one.
struct RequestWaitingForBackend {
  static constexpr const char* kMessage = "request waits";
  uint32_t known = 0;    ///< backends of the service
  uint32_t tried = 0;    ///< of the known ones: have already had this request
  uint32_t loading = 0;  ///< of the known ones: are loading weights
  uint32_t limited = 0;  ///< of the known ones: have limits, and no permit is available
  std::vector<LogField> fields() const {
    return {{"known", known}, {"tried", tried}, {"loading", loading}, {"limited", limited}};
  }
};

/// All engines that could serve the request have queues; it waits at the router for a slot.
struct RequestQueued {
  static constexpr const char* kMessage = "request waits for a slot";
  int64_t wait_ms = 0;     ///< expected wait at the engine with the first free slot
  double taken_share = 0;  ///< busy slots divided by all slots
  uint32_t queued = 0;     ///< requests that were waiting before it
  std::vector<LogField> fields() const {
    return {{"wait_ms", wait_ms}, {"taken_share", taken_share}, {"queued", queued}};
  }
};

/// The request was sent to a backend.
struct RequestSent {
  static constexpr const char* kMessage = "request sent";
  std::string backend;
  uint32_t candidates = 0;
  uint32_t outstanding = 0;     ///< requests in flight there before it
  uint64_t queued_tokens = 0;   ///< prompt tokens waiting to be processed there before it
  uint64_t missing_tokens = 0;  ///< tokens of its prompt that are not known to be cached there
  int64_t expected_ms = 0;      ///< from this send to the first event
  uint64_t weights = 0;
  std::string software;         ///< version of the backend's program
  int64_t last_event_id = -1;   ///< of the event after which the stream goes on there; -1: from the start
  std::string cache_source;     ///< address; empty: none
  std::string copy_of;          ///< the run that this one continues; empty: a run from the start
  std::string distance;         ///< from this router to the backend
  std::string source_distance;  ///< from the cache source to the backend; empty: no source
  std::vector<LogField> fields() const {
    return {{"backend", backend},
            {"candidates", candidates},
            {"outstanding", outstanding},
            {"queued_tokens", queued_tokens},
            {"missing_tokens", missing_tokens},
            {"expected_ms", expected_ms},
            {"weights", weights},
            {"software", software},
            {"last_event_id", last_event_id},
            {"cache_source", cache_source},
            {"copy_of", copy_of},
            {"distance", distance},
            {"source_distance", source_distance}};
  }
};

/// A backend reported that it did not run the request, or no connection was made.
struct RequestNotRun {
  static constexpr const char* kMessage = "request not run";
  std::string backend;
  int status = 0;  ///< 0: no connection
  std::vector<LogField> fields() const { return {{"backend", backend}, {"status", status}}; }
};

/// The exchange with a backend failed.
struct ExchangeFailed {
  static constexpr const char* kMessage = "exchange failed";
  std::string backend;
  const char* failure = "";
  bool streaming = false;  ///< events had been sent to the client
  bool ejected = false;    ///< the backend gets no requests for a while
  std::vector<LogField> fields() const {
    return {{"backend", backend}, {"failure", failure}, {"streaming", streaming}, {"ejected", ejected}};
  }
};

/// The request was not sent: backends crashed under requests with its fingerprint.
struct RequestQuarantined {
  static constexpr const char* kMessage = "request held back";
  std::string fingerprint;  ///< of the request, or the feature of the part of its prompt that it is held for
  uint32_t crashes = 0;     ///< crashes that count against the request
  int64_t left_ms = 0;      ///< until its quarantine ends
  std::vector<LogField> fields() const {
    return {{"fingerprint", fingerprint}, {"crashes", crashes}, {"left_ms", left_ms}};
  }
};

/// A caller resumes a stream: it was searched for where the stream began.
struct StreamOriginSearched {
  static constexpr const char* kMessage = "stream resumed";
  std::string source;     ///< streams::OriginSource
  std::string software;   ///< version at which the stream began; empty: unknown, or not reported
  int64_t search_ms = 0;  ///< from the request's arrival
  std::vector<LogField> fields() const {
    return {{"source", source}, {"software", software}, {"search_ms", search_ms}};
  }
};

/// The request must not, or can't, be retried.
struct RequestNotRetried {
  static constexpr const char* kMessage = "request not sent again";
  const char* reason = "";
  std::vector<LogField> fields() const { return {{"reason", reason}}; }
};

/// The run could not be continued from its KV cache copy at another engine.
struct KvCacheCopyNotUsed {
  static constexpr const char* kMessage = "copy not used";
  std::string backend;
  const char* reason = "";
  uint64_t weights = 0;
  std::vector<LogField> fields() const {
    return {{"backend", backend}, {"reason", reason}, {"weights", weights}};
  }
};

/// The final response has been sent to the client, or the client has disconnected.
struct RequestEnded {
  static constexpr const char* kMessage = "request ended";
  std::string outcome;
  int status = 0;  ///< 0: none, the connection was closed
  uint32_t backends = 0;
  uint32_t refusals = 0;
  int64_t total_ms = 0;
  int64_t first_event_ms = -1;  ///< -1: there was none
  int64_t expected_first_ms =
      -1;  ///< expected time from arrival to the first event, as of the last send; -1: never sent
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

/// The request was answered without being sent: no route, no key, or the router can't serve.
struct RequestRejected {
  static constexpr const char* kMessage = "request turned away";
  int status = 0;
  const char* reason = "";
  uint64_t configuration_version = 0;
  int64_t keys_left_ms =
      0;               ///< how long access keys are still accepted; negative: the time since the lease ended
  std::string tenant;  ///< empty: not known
  std::vector<LogField> fields() const {
    return {{"status", status},
            {"reason", reason},
            {"version", configuration_version},
            {"keys_left_ms", keys_left_ms},
            {"tenant", tenant}};
  }
};

}  // namespace stoat::events
