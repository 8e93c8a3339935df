#include "simulation/fleet_checks.h"

#include "src/common/hash.h"
#include "src/wire/failure_reason.h"
#include "tools/quantiles.h"

namespace stoat::simulation {

namespace {

using wire::Outcome;

/// A leaving back end must get no new work after this; the users ask for "a few seconds".
constexpr Duration kLeavingLimit = 3s;
constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr size_t kBytesPerToken = 4;

}  // namespace

std::string expected_answer(const tools::PlannedRequest& planned) {
  const uint64_t prompt_hash = hash_bytes(planned.prompt);
  std::string text;
  for (uint32_t index = 0; index < planned.max_tokens; ++index) {
    text += standins::EngineModel::token_text(prompt_hash, index);
  }
  return text;
}

void FleetChecks::violate(TimePoint now, const std::string& what) {
  violations_.push_back("at " + std::to_string(now.count()) + " us: " + what);
}

void FleetChecks::on_engine_accepted(TimePoint now, const std::string& engine, uint64_t request_id,
                                     const std::string& key) {
  ++runs_by_request_[request_id];
  if (!key.empty() && ++runs_by_key_[key] > 1) {
    violate(now, "key " + key + " ran twice, the second time on " + engine);
  }
}

void FleetChecks::on_engine_start(TimePoint now, const std::string& engine, uint64_t incarnation,
                                  const standins::LedgerLine& line, const std::string& prompt,
                                  uint32_t block_tokens, uint64_t wasted_tokens) {
  prompt_tokens_ += line.prompt_tokens;
  cached_tokens_ += line.cached_tokens + line.imported_tokens;
  imported_tokens_ += line.imported_tokens;
  wasted_tokens_ += wasted_tokens;
  // What was reused must have been computed for this tenant, under these weights: by this very incarnation,
  // or by any when it was imported.
  const uint64_t any_engine = hash_bytes(line.tenant + "\n" + line.weights_version);
  const uint64_t owner = hash_pair(any_engine, incarnation);
  const size_t block_bytes = block_tokens * kBytesPerToken;
  const uint32_t reused_tokens = line.cached_tokens + line.imported_tokens;
  uint64_t prefix = 0;
  for (size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
    prefix = hash_pair(prefix, hash_bytes(std::string_view(prompt).substr(end - block_bytes, block_bytes)));
    const bool cached = end <= line.cached_tokens * kBytesPerToken;
    const bool imported = !cached && end <= reused_tokens * kBytesPerToken;
    const uint64_t held_here = hash_pair(owner, prefix);
    const uint64_t held_anywhere = hash_pair(any_engine, prefix);
    if ((cached && computed_prefixes_.count(held_here) == 0) ||
        (imported && exportable_prefixes_.count(held_anywhere) == 0)) {
      violate(now, "request of " + line.tenant + " on " + engine + " reused blocks that are not its own");
      return;
    }
    computed_prefixes_.insert(held_here);
    exportable_prefixes_.insert(held_anywhere);
  }
}

void FleetChecks::on_plain_run(uint64_t request_id, const std::string& key) {
  ++runs_by_request_[request_id];
  if (!key.empty() && ++runs_by_key_[key] > 1) {
    violations_.push_back("key " + key + " ran twice at a plain back end");
  }
}

void FleetChecks::on_dispatch(TimePoint now, const std::string& backend) {
  const auto leaving = leaving_since_.find(backend);
  if (leaving != leaving_since_.end() && now - leaving->second > kLeavingLimit) {
    violate(now, backend + " got new work " + std::to_string(to_milliseconds(now - leaving->second)) +
                     " ms after it was leaving");
  }
}

uint32_t FleetChecks::runs_of_key(const std::string& key) const {
  const auto found = runs_by_key_.find(key);
  return found == runs_by_key_.end() ? 0 : found->second;
}

uint32_t FleetChecks::runs_of_request(uint64_t request_id) const {
  const auto found = runs_by_request_.find(request_id);
  return found == runs_by_request_.end() ? 0 : found->second;
}

void FleetChecks::on_answer(TimePoint now, const CallerRecord& record) {
  const std::string id = to_hex(record.request_id) + " of " + record.planned.tenant;
  const bool is_plain = record.planned.request_class == tools::RequestClass::kPlainWork;
  const uint32_t runs = runs_of_request(record.request_id);
  switch (record.result.outcome) {
    case Outcome::kComplete:
      if (!is_plain && record.text != expected_answer(record.planned)) {
        violate(now, "request " + id + " got a cut, misordered or foreign answer");
      }
      if (runs == 0 && record.result.message != "replayed") {
        violate(now, "request " + id + " is complete and never ran");
      }
      break;
    case Outcome::kNotRun:
      if (runs > 0) {
        violate(now, "request " + id + " is called not run and ran");
      }
      break;
    default:
      if (!is_plain && !expected_answer(record.planned).starts_with(record.text)) {
        violate(now, "request " + id + " got pieces that are not its own before it failed");
      }
      break;
  }
  const int status = wire::reason_http_status(record.result.reason);
  if ((status == 429 || status == 503) && record.result.retry_after_ms <= 0) {
    violate(now,
            std::string("a refusal for ") + wire::reason_code(record.result.reason) + " has no Retry-After");
  }
}

FleetReport FleetChecks::report(TimePoint now, const std::vector<CallerRecord>& records) const {
  FleetReport report;
  report.violations = violations_;
  tools::Samples first_token;
  std::map<std::string, tools::Samples> by_tenant;
  for (const CallerRecord& record : records) {
    ++report.requests;
    if (!record.finished) {
      if (!record.gone && !record.sidecar_lost) {
        report.violations.push_back("at " + std::to_string(now.count()) + " us: request " +
                                    to_hex(record.request_id) + " never ended");
      }
      continue;
    }
    report.complete += record.result.outcome == Outcome::kComplete;
    report.not_run += record.result.outcome == Outcome::kNotRun;
    report.unknown += record.result.outcome == Outcome::kUnknown;
    report.failed += record.result.outcome == Outcome::kFailed;
    if (record.result.outcome != Outcome::kComplete) {
      ++report.refusals[wire::reason_code(record.result.reason)];
      // Not-run must still be true once everything is over.
      if (record.result.outcome == Outcome::kNotRun && runs_of_request(record.request_id) > 0) {
        report.violations.push_back("request " + to_hex(record.request_id) +
                                    " was called not run and ran later");
      }
      continue;
    }
    if (record.first_piece != TimePoint(0)) {
      const double taken =
          static_cast<double>((record.first_piece - record.intended).count()) / kMicrosecondsPerMillisecond;
      first_token.add(taken);
      by_tenant[record.planned.tenant].add(taken);
    }
  }
  report.prompt_tokens = prompt_tokens_;
  report.prefilled_tokens = prompt_tokens_ - cached_tokens_;
  report.wasted_tokens = wasted_tokens_;
  report.imported_tokens = imported_tokens_;
  report.hit_rate =
      prompt_tokens_ == 0 ? 0 : static_cast<double>(cached_tokens_) / static_cast<double>(prompt_tokens_);
  report.first_token_p50_ms = first_token.quantile(0.5);
  report.first_token_p95_ms = first_token.quantile(0.95);
  report.first_token_p99_ms = first_token.quantile(0.99);
  for (const auto& [tenant, samples] : by_tenant) {
    report.first_token_p95_ms_by_tenant[tenant] = samples.quantile(0.95);
  }
  return report;
}

}  // namespace stoat::simulation
