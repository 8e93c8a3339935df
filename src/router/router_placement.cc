// RouterCore: what a request could run on, the choice of one, and what moves to or from a store of kept
// blocks.
#include <algorithm>
#include <array>

#include "src/common/hash.h"
#include "src/router/router_core.h"

namespace stoat::router {

namespace {

using control::BackendKind;

/// A store of kept blocks that was not heard of for so long is not used.
constexpr Duration kStoreSilence = 5s;

BackendKind backend_kind(const wire::SubmitRequest& submit) {
  return submit.kind == wire::RequestKind::kCompletion ? BackendKind::kEngine : BackendKind::kPlain;
}

}  // namespace

bool RouterCore::accepts_work(const ServingEntry& entry, TimePoint now) const {
  return !entry.backend->draining && !entry.leaving && !entry.state->load.leaving &&
         now >= entry.state->avoid_until && outliers_.usable(entry.health, now);
}

bool RouterCore::usable(const Request& request, const ServingEntry& entry, TimePoint now) const {
  const control::Backend& backend = *entry.backend;
  if (backend.kind != backend_kind(request.submit) ||
      entry.state->outstanding >= options_.max_engine_outstanding) {
    return false;
  }
  if (!request.excluded.empty() && request.excluded.count(backend.name) > 0) {
    return false;
  }
  return accepts_work(entry, now);
}

const ServingEntry* RouterCore::store_for(const Request& request, TimePoint now) const {
  const ServingEntry* best = nullptr;
  uint64_t best_weight = 0;
  for (const ServingEntry& entry : serving_.of(request.submit.serves).stores) {
    const bool known = entry.state->load.incarnation != 0 && now - entry.state->load_seen_at < kStoreSilence;
    // Rendezvous, so that all blocks of a prefix are in one store.
    const uint64_t weight = hash_pair(request.prefix_key, entry.name_hash);
    if (entry.local && known && accepts_work(entry, now) && (best == nullptr || weight > best_weight)) {
      best = &entry;
      best_weight = weight;
    }
  }
  return best;
}

RouterCore::PlacementInput RouterCore::placement_input(const Request& request, TimePoint now) {
  PlacementInput input;
  const ServingList& serving = serving_.of(request.submit.serves);
  const auto model = configuration_.models.find(request.submit.serves);
  const std::string_view wanted_weights =
      model == configuration_.models.end() ? std::string_view() : model->second.weights_version;
  std::vector<placement::Candidate>& candidates = input.candidates;
  candidates.reserve(serving.entries.size());
  constexpr uint32_t kNoCandidate = UINT32_MAX;
  std::vector<uint32_t> candidate_of(serving.entries.size(), kNoCandidate);
  for (size_t position = 0; position < serving.entries.size(); ++position) {
    const ServingEntry& entry = serving.entries[position];
    const EngineState& state = *entry.state;
    const bool other_weights = !wanted_weights.empty() && !state.load.weights_version.empty() &&
                               state.load.weights_version != wanted_weights;
    const bool out_of_reach = serving.served_locally && !entry.local;
    if (out_of_reach || other_weights || !usable(request, entry, now)) {
      continue;
    }
    placement::Candidate candidate;
    candidate.name = entry.backend->name;
    candidate.name_hash = entry.name_hash;
    candidate.incarnation = state.load.incarnation;
    candidate.reported_running = state.load.running;
    candidate.reported_tokens = state.load.waiting_tokens;
    candidate.outstanding = state.outstanding;
    candidate.pending_tokens = state.pending_tokens;
    candidate_of[position] = static_cast<uint32_t>(candidates.size());
    candidates.push_back(candidate);
  }
  input.store = store_for(request, now);
  const auto add_match = [&](const cache::PrefixMatch& match) {
    if (input.store != nullptr && match.engine_hash == input.store->name_hash) {
      if (match.incarnation == input.store->state->load.incarnation) {
        input.stored_blocks = std::max(input.stored_blocks, match.blocks);
      }
      return;
    }
    input.shared_blocks = std::max(input.shared_blocks, match.blocks);
    const auto position = serving.position_of_hash.find(match.engine_hash);
    if (position == serving.position_of_hash.end() || candidate_of[position->second] == kNoCandidate) {
      return;
    }
    placement::Candidate& candidate = candidates[candidate_of[position->second]];
    // An incarnation that no load report has named yet may be the one that the index knows.
    if (candidate.incarnation == 0 || candidate.incarnation == match.incarnation) {
      candidate.cached_tokens = std::max(candidate.cached_tokens, match.blocks * options_.block_tokens);
    }
  };
  const std::array<const cache::PrefixIndex*, 3> indexes{&index_, expected_.get(), expected_before_.get()};
  for (const cache::PrefixIndex* index : indexes) {
    for (const cache::PrefixMatch& match : index->match(request.chain)) {
      add_match(match);
    }
  }
  return input;
}

KvTransfer RouterCore::plan_transfer(Request& request, const PlacementInput& input,
                                     const placement::Candidate& chosen) {
  KvTransfer transfer;
  request.import_tokens = 0;
  if (input.store == nullptr) {
    return transfer;
  }
  const uint32_t stored_tokens = input.stored_blocks * options_.block_tokens;
  const uint32_t importable = stored_tokens - std::min(stored_tokens, chosen.cached_tokens);
  if (costs_.import_pays(importable)) {
    transfer.import_blocks = input.stored_blocks;
    request.import_tokens = importable;
    request.missing_tokens -= std::min(request.missing_tokens, importable);
    metrics_->count("stoat_router_imported_tokens_total", {}, importable);
  } else if (importable > 0) {
    costs_.note_no_import();
  }
  // What another request had in common with this one is worth keeping.
  if (input.shared_blocks > input.stored_blocks) {
    transfer.export_blocks = input.shared_blocks;
    const uint64_t incarnation = input.store->state->load.incarnation;
    const cache::EngineSlot slot = expected_->slot_of(input.store->backend->name, incarnation);
    for (uint32_t block = input.stored_blocks; block < input.shared_blocks; ++block) {
      expected_->store(slot, request.chain[block]);
    }
    metrics_->count("stoat_router_exported_blocks_total", {}, input.shared_blocks - input.stored_blocks);
  }
  if (transfer.import_blocks > 0 || transfer.export_blocks > 0) {
    transfer.store = input.store->backend->endpoint;
  }
  return transfer;
}

Duration RouterCore::expected_first_token(const Request& request, const placement::Candidate& chosen) const {
  const double queued = std::max(chosen.reported_tokens, chosen.pending_tokens);
  const double first_us = costs_.base_us() + costs_.prefill_us(queued + request.missing_tokens);
  return Duration(static_cast<int64_t>(first_us));
}

const placement::Candidate& RouterCore::choose(const Request& request, const PlacementInput& input) {
  const placement::RequestView view{request.prompt_tokens, request.prefix_key,
                                    input.stored_blocks * options_.block_tokens};
  return input.candidates[policy_->choose(view, input.candidates, random_)];
}

uint32_t RouterCore::missing_tokens(const Request& request, const placement::Candidate& candidate) {
  return request.prompt_tokens - std::min(request.prompt_tokens, candidate.cached_tokens);
}

bool RouterCore::try_dispatch(Request& request, TimePoint now) {
  hash_prompt(request);
  const PlacementInput input = placement_input(request, now);
  if (input.candidates.empty()) {
    return false;
  }
  const placement::Candidate& chosen = choose(request, input);
  request.missing_tokens = missing_tokens(request, chosen);
  request.expected_first_token = expected_first_token(request, chosen);
  request.queue_was_empty = chosen.reported_tokens + chosen.pending_tokens == 0 && chosen.outstanding == 0;
  const control::Backend& backend = configuration_.backends.at(std::string(chosen.name));
  const CallKind kind =
      request.submit.kind == wire::RequestKind::kCompletion ? CallKind::kComplete : CallKind::kPlain;
  const KvTransfer transfer = plan_transfer(request, input, chosen);
  start_call(request, kind, backend, transfer, now);
  return true;
}

}  // namespace stoat::router
