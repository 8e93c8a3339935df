/// Records callers' requests and their outcomes as JSON lines, without prompt text: lengths and hashes only.
/// docs/TRACES.md describes the form.
#pragma once

#include <fstream>
#include <string>

#include "src/common/time.h"
#include "src/sidecar/sidecar_core.h"

namespace stoat::sidecar {

/// See the head of this file. Does nothing when it was given no file name.
class TraceRecorder {
 public:
  /// Throws std::runtime_error when the file can't be opened.
  TraceRecorder(const std::string& file, uint32_t block_tokens);
  void request(uint64_t request_id, const CallerRequest& caller, TimePoint now);
  void outcome(uint64_t request_id, const wire::RequestFinished& finished, TimePoint now);

 private:
  std::ofstream output_;
  uint32_t block_tokens_;
};

}  // namespace stoat::sidecar
