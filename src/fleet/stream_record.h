/// Records of event streams: the service and the software version at which a stream began. They let any
/// router resume a stream at that version after the router that began it is gone.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/hash.h"

namespace stoat::fleet {

/// Identifies a stream by its tenant and the id of the request attempt that brought its first event.
inline uint64_t stream_key(std::string_view tenant, std::string_view first_attempt) {
  return hash_pair(hash_bytes(tenant), hash_bytes(first_attempt));
}

/// The backends among which a stream may be continued.
struct StreamOrigin {
  std::string service;
  std::string software;  ///< BackendRecord::software
  MSGPACK_DEFINE_ARRAY(service, software)
  bool operator==(const StreamOrigin&) const = default;
};

/// Where a stream began.
struct StreamRecord {
  uint64_t stream = 0;  ///< stream_key()
  StreamOrigin origin;
  /// Increases when the request is sent to another origin before its first event; the highest one is valid.
  uint32_t generation = 0;
  int64_t lifetime_ms = 0;  ///< how much longer the caller may resume the stream
  MSGPACK_DEFINE_ARRAY(stream, origin, generation, lifetime_ms)
};

/// Router to control member: records to keep.
struct StreamRecordBatch {
  uint64_t number = 0;  ///< increases with each batch on a connection
  std::vector<StreamRecord> records;
  MSGPACK_DEFINE_ARRAY(number, records)
};

/// Control member to router: the batch of this number is on the member's disk.
struct StreamRecordBatchResponse {
  uint64_t number = 0;
  MSGPACK_DEFINE_ARRAY(number)
};

/// The software versions of a service at which a stream that is still alive may have begun.
struct ServiceSoftware {
  std::string service;
  std::set<std::string> versions;
  MSGPACK_DEFINE_ARRAY(service, versions)
  bool operator==(const ServiceSoftware&) const = default;
};

/// The services that have several versions; replaces an earlier list of the same sender.
struct MixedServices {
  std::vector<ServiceSoftware> services;
  MSGPACK_DEFINE_ARRAY(services)
  bool operator==(const MixedServices&) const = default;
};

/// Router to control member: asks where a stream began.
struct StreamRecordRequest {
  uint64_t number = 0;  ///< echoed in the response
  uint64_t stream = 0;
  std::string service;  ///< whose versions are asked for as well
  MSGPACK_DEFINE_ARRAY(number, stream, service)
};

/// The answer to a StreamRecordRequest.
struct StreamRecordResponse {
  uint64_t number = 0;
  std::vector<StreamRecord> record;       ///< at most one; empty: not kept here
  std::vector<ServiceSoftware> software;  ///< of the service asked for; empty: the sender has just restarted
  MSGPACK_DEFINE_ARRAY(number, record, software)
};

}  // namespace stoat::fleet
