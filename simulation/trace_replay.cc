#include "simulation/trace_replay.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "simulation/fleet_simulation.h"
#include "src/wire/failure_reason.h"

namespace stoat::simulation {

namespace {

using nlohmann::json;

/// A line of the trace and where it stood.
struct TraceLine {
  int number = 0;
  json body;
};

class Replayer {
 public:
  Replayer(std::string name, ReplayResult& result) : name_(std::move(name)), result_(result) {}

  void run(const std::vector<TraceLine>& lines) {
    FleetSimulationOptions options = faulty_fleet_options(1, "kavelwind", Duration(0));
    options.random_faults = false;
    options.engine.feed.gap_probability = 0;
    for (const TraceLine& line : lines) {
      if (line.body.value("event", "") == "setup") {
        options.workload.name = line.body.value("workload", options.workload.name);
        options.engines = line.body.value("engines", options.engines);
        options.routers = line.body.value("routers", options.routers);
      }
    }
    fleet_ = std::make_unique<FleetSimulation>(options);
    const TimePoint start = fleet_->now();
    for (const TraceLine& line : lines) {
      const TimePoint at = start + Duration(1000 * line.body.value("at_ms", int64_t{0}));
      if (at > fleet_->now()) {
        fleet_->run_for(at - fleet_->now());
      }
      play(line);
    }
    for (const std::string& violation : fleet_->finish().violations) {
      result_.findings.add({name_, 0, 0, "", violation});
    }
    check_expectations(lines);
  }

 private:
  void play(const TraceLine& line) {
    const std::string event = line.body.value("event", "");
    if (event == "request") {
      send(line);
    } else if (event == "fault" || event == "operator") {
      act(line);
    } else if (event != "setup" && event != "expect") {
      add(line, "event", "must be setup, request, fault, operator or expect");
    }
  }

  void send(const TraceLine& line) {
    const json& body = line.body;
    tools::PlannedRequest request;
    request.tenant = body.value("tenant", "");
    request.serves = body.value("serves", "");
    request.max_tokens = body.value("max_tokens", 8U);
    request.repeatable = body.value("repeatable", true);
    request.idempotency_key = body.value("key", "");
    request.request_class =
        body.value("plain", false) ? tools::RequestClass::kPlainWork : tools::RequestClass::kShortQuestion;
    // The shared part is made from its name, so that traces need no prompt text.
    const std::string shared = body.value("shared", "");
    while (request.prompt.size() < body.value("shared_bytes", size_t{4000}) && !shared.empty()) {
      request.prompt += shared + " ";
    }
    request.prompt += body.value("text", "");
    records_[body.value("id", "")] = fleet_->send(request, body.value("sidecar", size_t{0}));
    ++result_.requests;
  }

  void act(const TraceLine& line) {
    const auto target = line.body.value("target", size_t{0});
    const std::map<std::string, std::function<void()>> actions{
        {"crash_router", [&] { fleet_->crash_router(target); }},
        {"start_router", [&] { fleet_->start_router(target); }},
        {"freeze_router", [&] { fleet_->freeze_router(target); }},
        {"thaw_router", [&] { fleet_->thaw_router(target); }},
        {"stop_router", [&] { fleet_->stop_router(target); }},
        {"crash_router_of", [&] { fleet_->crash_router(router_of(line)); }},
        {"crash_engine", [&] { fleet_->crash_engine(target); }},
        {"start_engine", [&] { fleet_->start_engine(target); }},
        {"crash_engine_of", [&] { fleet_->crash_engine(engine_of(line)); }},
        {"control_away", [&] { fleet_->set_control_available(false); }},
        {"control_back", [&] { fleet_->set_control_available(true); }},
        {"lose_control_answers", [&] { fleet_->lose_next_control_answers(line.body.value("count", 1U)); }},
        {"engine_leaves", [&] { fleet_->leave_engine_by_platform(target); }},
        {"order_weights", [&] { fleet_->order_weights(line.body.value("version", "v2")); }},
        {"caller_goes", [&] { fleet_->set_caller_gone(records_[line.body.value("id", "")]); }},
    };
    const auto action = actions.find(line.body.value("kind", ""));
    if (action == actions.end()) {
      add(line, "kind", "is not a known fault or operator's action");
      return;
    }
    action->second();
  }

  size_t router_of(const TraceLine& line) {
    const int position = fleet_->router_of(records_[line.body.value("id", "")]);
    if (position < 0) {
      add(line, "id", "is on no router now");
    }
    return static_cast<size_t>(std::max(0, position));
  }

  size_t engine_of(const TraceLine& line) {
    const int position = fleet_->engine_of(records_[line.body.value("id", "")]);
    if (position < 0) {
      add(line, "id", "is on no engine now");
    }
    return static_cast<size_t>(std::max(0, position));
  }

  void check_expectations(const std::vector<TraceLine>& lines) {
    for (const TraceLine& line : lines) {
      if (line.body.value("event", "") != "expect") {
        continue;
      }
      ++result_.expectations;
      const auto found = records_.find(line.body.value("id", ""));
      if (found == records_.end()) {
        add(line, "id", "no request has this id");
        continue;
      }
      const CallerRecord& record = fleet_->records()[found->second];
      compare(line, "outcome", wire::outcome_name(record.result.outcome));
      compare(line, "reason", wire::reason_code(record.result.reason));
      const uint32_t runs = record.planned.idempotency_key.empty()
                                ? fleet_->checks().runs_of_request(record.request_id)
                                : fleet_->checks().runs_of_key(record.planned.idempotency_key);
      compare(line, "runs", runs);
      compare(line, "cached", record.result.cached_tokens > 0);
    }
  }

  void compare(const TraceLine& line, const char* key, const json& actual) {
    if (line.body.contains(key) && line.body[key] != actual) {
      add(line, key, "must be " + line.body[key].dump() + " and is " + actual.dump());
    }
  }

  void add(const TraceLine& line, const char* key, const std::string& message) {
    result_.findings.add({name_, line.number, 0, key, message});
  }

  std::string name_;
  ReplayResult& result_;
  std::unique_ptr<FleetSimulation> fleet_;
  std::map<std::string, size_t> records_;
};

}  // namespace

ReplayResult replay_trace(const std::string& name, const std::string& text) {
  ReplayResult result;
  std::vector<TraceLine> lines;
  std::istringstream stream(text);
  int number = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    if (line.empty()) {
      continue;
    }
    json body = json::parse(line, nullptr, false);
    if (!body.is_object()) {
      result.findings.add({name, number, 0, "", "must be a JSON object"});
      continue;
    }
    lines.push_back({number, std::move(body)});
  }
  if (result.findings.empty()) {
    Replayer(name, result).run(lines);
  }
  return result;
}

}  // namespace stoat::simulation
