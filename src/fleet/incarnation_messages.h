/// Messages by which a control member asks who a backend is that is named without its start time.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// Control member to routers and other members: asks which incarnations of these backends they know.
struct IncarnationRequest {
  uint64_t number = 0;             ///< echoed in the answer
  std::vector<std::string> names;  ///< without the start time, or whole ids
  MSGPACK_DEFINE_ARRAY(number, names)
};

/// One incarnation of a backend that was asked for.
struct KnownIncarnation {
  std::string name;  ///< as asked for
  std::string id;    ///< of the incarnation, see incarnation.h
  MSGPACK_DEFINE_ARRAY(name, id)
  bool operator==(const KnownIncarnation&) const = default;
};

/// The answer to an IncarnationRequest. Names that the sender does not know are left out.
struct IncarnationResponse {
  uint64_t number = 0;
  std::vector<KnownIncarnation> incarnations;
  MSGPACK_DEFINE_ARRAY(number, incarnations)
};

}  // namespace stoat::fleet
