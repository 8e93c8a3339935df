// FleetSimulation: engines, plain back ends, and the routers' calls to them.
#include <algorithm>

#include "simulation/fleet_simulation.h"
#include "src/cache/block_chain.h"
#include "src/common/zone.h"

namespace stoat::simulation {

namespace {

constexpr Duration kBackendSilence = 5s;
constexpr Duration kPlainWork = 20ms;

const char* refusal_of(standins::Refusal refusal) { return standins::refusal_name(refusal); }

}  // namespace

void FleetSimulation::start_engine(size_t position) {
  SimulatedEngine& engine = engines_[position];
  ++engine.starts;
  engine.frozen = false;
  engine.kept.clear();
  engine.readers.clear();
  engine.unstarted_lines.clear();
  standins::EngineSettings settings = options_.engine;
  settings.name = engine.name;
  settings.model = names_.model;
  settings.block_tokens = options_.router.block_tokens;
  engine.model = std::make_unique<standins::EngineModel>(settings, random_.bits() | 1U, random_.bits());
}

void FleetSimulation::break_engine_calls(size_t position) {
  SimulatedEngine& engine = engines_[position];
  const auto readers = engine.readers;
  engine.readers.clear();
  for (const auto& [stream, reader] : readers) {
    router::CallResult broken;
    broken.end = router::CallEnd::kBroken;
    end_call(reader.first, reader.second, broken);
  }
}

void FleetSimulation::crash_engine(size_t position) {
  trace_.fault(events_.now(), engines_[position].name + " is lost");
  check_engine_ledger(position);
  break_engine_calls(position);
  engines_[position].model.reset();
  engines_[position].kept.clear();
  ++engines_[position].starts;
}

void FleetSimulation::freeze_engine(size_t position) { engines_[position].frozen = true; }

void FleetSimulation::thaw_engine(size_t position) {
  SimulatedEngine& engine = engines_[position];
  engine.frozen = false;
  std::vector<std::function<void()>> kept;
  kept.swap(engine.kept);
  for (auto& input : kept) {
    input();
  }
}

void FleetSimulation::leave_engine_by_platform(size_t position) {
  const std::string name = engines_[position].name;
  checks_.on_leaving(events_.now(), name);
  events_.after(1s, [this, name] { leaving_.insert(name); });  // the list lags
}

void FleetSimulation::on_engine(size_t position, std::function<void()> input, std::function<void()> if_dead) {
  SimulatedEngine& engine = engines_[position];
  if (engine.model == nullptr) {
    if_dead();
    return;
  }
  if (!engine.frozen) {
    input();
    return;
  }
  const uint64_t start_number = engine.starts;
  engine.kept.push_back(
      [this, position, start_number, input = std::move(input), if_dead = std::move(if_dead)] {
        if (engines_[position].starts == start_number) {
          input();
        } else {
          if_dead();
        }
      });
}

int FleetSimulation::engine_position(const std::string& name) const {
  for (size_t position = 0; position < engines_.size(); ++position) {
    if (engines_[position].name == name) {
      return static_cast<int>(position);
    }
  }
  return -1;
}

void FleetSimulation::advance_engines() {
  for (size_t position = 0; position < engines_.size(); ++position) {
    SimulatedEngine& engine = engines_[position];
    if (engine.model == nullptr || engine.frozen) {
      continue;
    }
    const auto outputs = engine.model->advance(events_.now());
    export_to_store(*engine.model);
    check_engine_ledger(position);
    for (const standins::EngineOutput& output : outputs) {
      deliver_output(position, output);
    }
    for (const auto& [stream, reader] : engine.readers) {
      const auto call = calls_.find(reader);
      if (call != calls_.end()) {
        call->second.last_byte = events_.now();  // keep-alive comments
      }
    }
  }
}

void FleetSimulation::check_engine_ledger(size_t position) {
  SimulatedEngine& engine = engines_[position];
  if (engine.model == nullptr) {
    return;
  }
  std::erase_if(engine.unstarted_lines, [&](size_t number) {
    const standins::LedgerLine& line = engine.model->ledger()[number];
    if (!line.started) {
      return false;
    }
    const std::string& prompt = records_[record_of_request_.at(line.request_id)].planned.prompt;
    const auto chain =
        cache::block_chain(seed_of_request_[line.request_id], prompt, options_.router.block_tokens);
    size_t held_elsewhere = 0;
    for (size_t other = 0; other < engines_.size(); ++other) {
      const standins::EngineModel* model = engines_[other].model.get();
      if (other != position && model != nullptr && model->weights_version() == line.weights_version) {
        held_elsewhere = std::max(held_elsewhere, model->prefix_cache().peek(chain));
      }
    }
    const uint64_t elsewhere_tokens =
        std::min<uint64_t>(line.prompt_tokens, held_elsewhere * options_.router.block_tokens);
    const uint64_t reused_tokens = line.cached_tokens + line.imported_tokens;
    const uint64_t wasted = elsewhere_tokens > reused_tokens ? elsewhere_tokens - reused_tokens : 0;
    checks_.on_engine_start(events_.now(), engine.name, engine.model->incarnation(), line, prompt,
                            options_.router.block_tokens, wasted);
    return true;
  });
}

void FleetSimulation::perform(size_t router, router::StartCall& action) {
  trace_.call(events_.now(), routers_[router].name, action);
  BackendCall& call = calls_[{router, action.call_id}];
  call.call = action;
  call.generation = routers_[router].generation;
  call.last_byte = events_.now();
  call.engine = engine_position(action.backend);
  if (action.kind != router::CallKind::kResume) {
    checks_.on_dispatch(events_.now(), action.backend);
  }
  if (call.engine >= 0) {
    const std::string region = region_of(zones_.at(routers_[router].name));
    cross_region_dispatches_ += region_of(zones_.at(action.backend)) != region ? 1 : 0;
  }
  if (action.kind == router::CallKind::kPlain) {
    start_plain_call(router, action);
  } else {
    start_engine_call(router, action);
  }
}

void FleetSimulation::end_call(size_t router, router::CallId call_id, const router::CallResult& result) {
  const auto call = calls_.find({router, call_id});
  if (call == calls_.end()) {
    return;
  }
  trace_.call_end(events_.now(), routers_[router].name, call->second.call.request_id, result);
  const std::string backend = call->second.call.backend;
  const uint64_t generation = call->second.generation;
  deliver_in_order(backend, routers_[router].name, [this, router, call_id, generation, result] {
    const auto still_open = calls_.find({router, call_id});
    if (still_open == calls_.end()) {
      return;
    }
    on_router(router, generation, [this, router, call_id, result] {
      calls_.erase({router, call_id});
      routers_[router].core->on_call_end(call_id, result, events_.now());
    });
  });
}

void FleetSimulation::start_plain_call(size_t router, const router::StartCall& call) {
  events_.after(delay(), [this, router, call] {
    checks_.on_plain_run(call.request_id, call.repeatable ? "" : call.idempotency_key);
    events_.after(kPlainWork, [this, router, call] {
      router::CallResult done;
      done.end = router::CallEnd::kComplete;
      done.http_status = 200;
      done.body = "{}";
      end_call(router, call.call_id, done);
    });
  });
}

void FleetSimulation::start_engine_call(size_t router, const router::StartCall& call) {
  const auto engine = static_cast<size_t>(engine_position(call.backend));
  deliver_in_order(routers_[router].name, call.backend, [this, router, engine, call] {
    const auto arrive = [this, router, engine, call] {
      if (call.kind == router::CallKind::kResume) {
        resume_at_engine(router, engine, call);
      } else {
        submit_to_engine(router, engine, call);
      }
    };
    const auto refuse_connection = [this, router, call] {
      router::CallResult not_sent;
      not_sent.end = router::CallEnd::kNotSent;
      end_call(router, call.call_id, not_sent);
    };
    on_engine(engine, arrive, refuse_connection);
  });
}

void FleetSimulation::submit_to_engine(size_t router, size_t position, const router::StartCall& call) {
  SimulatedEngine& engine = engines_[position];
  standins::EngineRequest request;
  request.request_id = call.request_id;
  request.attempt = call.engine_attempt;
  request.idempotency_key = call.repeatable ? "" : call.idempotency_key;
  request.tenant = call.tenant;
  request.cache_seed = call.cache_seed;
  request.prompt = call.prompt;
  request.first_index = call.first_index;
  request.max_tokens = call.max_tokens;
  request.priority = call.priority;
  request.expected_incarnation = call.expected_incarnation;
  request.expected_weights = call.expected_weights;
  request.import_blocks = call.kv_transfer.import_blocks;
  request.export_blocks = call.kv_transfer.export_blocks;
  import_from_store(request);
  seed_of_request_[call.request_id] = call.cache_seed;
  const standins::Refusal refusal = engine.model->submit(request, events_.now());
  if (refusal != standins::Refusal::kNone) {
    router::CallResult refused;
    refused.end = router::CallEnd::kRefused;
    refused.refusal = refusal_of(refusal);
    refused.incarnation = engine.model->incarnation();
    end_call(router, call.call_id, refused);
    return;
  }
  checks_.on_engine_accepted(events_.now(), engine.name, call.request_id, request.idempotency_key);
  engine.unstarted_lines.push_back(engine.model->ledger().size() - 1);
  engine.readers[{call.request_id, call.engine_attempt}] = {router, call.call_id};
  check_engine_ledger(position);
}

void FleetSimulation::resume_at_engine(size_t router, size_t position, const router::StartCall& call) {
  SimulatedEngine& engine = engines_[position];
  std::vector<standins::EngineOutput> outputs;
  const bool known = call.expected_incarnation == engine.model->incarnation() &&
                     engine.model->resume(call.request_id, call.engine_attempt, call.first_index, outputs);
  if (!known) {
    router::CallResult unknown;
    unknown.end = router::CallEnd::kUnknownStream;
    end_call(router, call.call_id, unknown);
    return;
  }
  const std::pair<uint64_t, uint32_t> stream{call.request_id, call.engine_attempt};
  if (const auto former = engine.readers.find(stream); former != engine.readers.end()) {
    router::CallResult taken_over;
    taken_over.end = router::CallEnd::kBroken;
    end_call(former->second.first, former->second.second, taken_over);
  }
  engine.readers[stream] = {router, call.call_id};
  for (const standins::EngineOutput& output : outputs) {
    deliver_output(position, output);
  }
}

void FleetSimulation::deliver_output(size_t position, const standins::EngineOutput& output) {
  SimulatedEngine& engine = engines_[position];
  const auto reader = engine.readers.find({output.request_id, output.attempt});
  if (reader == engine.readers.end()) {
    return;
  }
  const auto [router, call_id] = reader->second;
  const auto call = calls_.find(reader->second);
  if (output.finished) {
    engine.readers.erase(reader);
    router::CallResult done;
    done.end = router::CallEnd::kComplete;
    done.piece_count = output.index;
    done.prompt_tokens = output.prompt_tokens;
    done.cached_tokens = output.cached_tokens;
    end_call(router, call_id, done);
    return;
  }
  if (call == calls_.end()) {
    return;
  }
  const uint64_t generation = call->second.generation;
  const size_t to = router;
  const router::CallId id = call_id;
  deliver_in_order(engine.name, routers_[to].name, [this, to, id, generation, output] {
    on_router(to, generation, [this, to, id, output] {
      routers_[to].core->on_piece(id, output.index, output.text, events_.now());
    });
  });
}

void FleetSimulation::perform(size_t router, router::StopCall& action) {
  const auto found = calls_.find({router, action.call_id});
  if (found == calls_.end()) {
    return;
  }
  const BackendCall call = found->second;
  calls_.erase(found);
  if (call.engine < 0) {
    return;
  }
  const auto engine = static_cast<size_t>(call.engine);
  const std::pair<uint64_t, uint32_t> stream{call.call.request_id, call.call.engine_attempt};
  const auto reader = engines_[engine].readers.find(stream);
  if (reader != engines_[engine].readers.end() && reader->second == std::make_pair(router, action.call_id)) {
    engines_[engine].readers.erase(reader);
  }
  if (!action.stop_engine) {
    return;
  }
  deliver_in_order(routers_[router].name, engines_[engine].name, [this, engine, stream] {
    on_engine(
        engine,
        [this, engine, stream] {
          engines_[engine].model->cancel(stream.first, stream.second);
          const auto other = engines_[engine].readers.find(stream);
          if (other != engines_[engine].readers.end()) {
            const auto [other_router, other_call] = other->second;
            engines_[engine].readers.erase(other);
            router::CallResult broken;
            broken.end = router::CallEnd::kBroken;
            end_call(other_router, other_call, broken);
          }
        },
        [] {});
  });
}

void FleetSimulation::check_silent_calls() {
  std::vector<std::pair<size_t, router::CallId>> silent;
  for (const auto& [key, call] : calls_) {
    if (call.engine >= 0 && events_.now() - call.last_byte > kBackendSilence && !routers_[key.first].frozen) {
      silent.push_back(key);
    }
  }
  for (const std::pair<size_t, router::CallId>& key : silent) {
    const size_t router = key.first;
    const router::CallId call_id = key.second;
    const auto call = calls_.find(key);
    if (call == calls_.end()) {
      continue;
    }
    const uint64_t generation = call->second.generation;
    auto& readers = engines_[static_cast<size_t>(call->second.engine)].readers;
    std::erase_if(readers, [&](const auto& entry) { return entry.second == key; });
    calls_.erase(call);
    router::CallResult broken;
    broken.end = router::CallEnd::kBroken;
    on_router(router, generation, [this, router, call_id, broken] {
      routers_[router].core->on_call_end(call_id, broken, events_.now());
    });
  }
}

}  // namespace stoat::simulation
