#include "src/sidecar/trace_recorder.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "src/cache/block_chain.h"
#include "src/common/hash.h"
#include "src/wire/failure_reason.h"

namespace stoat::sidecar {

using nlohmann::json;

TraceRecorder::TraceRecorder(const std::string& file, uint32_t block_tokens) : block_tokens_(block_tokens) {
  if (file.empty()) {
    return;
  }
  output_.open(file, std::ios::app);
  if (!output_) {
    throw std::runtime_error("cannot open the trace file " + file);
  }
}

void TraceRecorder::request(uint64_t request_id, const CallerRequest& caller, TimePoint now) {
  if (!output_.is_open()) {
    return;
  }
  json blocks = json::array();
  // The seed 0 keeps the hashes free of tenant and model, which stand beside them.
  for (const cache::BlockHash block : cache::block_chain(0, caller.prompt, block_tokens_)) {
    blocks.push_back(to_hex(block));
  }
  const json line = {{"event", "request"},
                     {"at_us", now.count()},
                     {"id", to_hex(request_id)},
                     {"tenant", caller.tenant},
                     {"serves", caller.serves},
                     {"prompt_bytes", caller.prompt.size()},
                     {"blocks", blocks},
                     {"max_tokens", caller.max_tokens},
                     {"repeatable", caller.repeatable},
                     {"has_key", !caller.idempotency_key.empty()}};
  output_ << line.dump() << "\n" << std::flush;
}

void TraceRecorder::outcome(uint64_t request_id, const wire::RequestFinished& finished, TimePoint now) {
  if (!output_.is_open()) {
    return;
  }
  const json line = {{"event", "outcome"},
                     {"at_us", now.count()},
                     {"id", to_hex(request_id)},
                     {"outcome", wire::outcome_name(finished.outcome)},
                     {"reason", wire::reason_code(finished.reason)},
                     {"tokens", finished.piece_count},
                     {"cached_tokens", finished.cached_tokens}};
  output_ << line.dump() << "\n" << std::flush;
}

}  // namespace stoat::sidecar
