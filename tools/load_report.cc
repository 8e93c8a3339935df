/// What a run of the load generator showed.
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tools/load_generator.h"
#include "tools/quantiles.h"

namespace stoat::tools {

namespace {

using nlohmann::json;

/// Counts of one route.
struct RouteSums {
  uint64_t sent = 0;
  std::map<CallerOutcome, uint64_t> outcomes;
  uint64_t late = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  Samples first_event_ms;
};

void add(RouteSums& sums, const RequestRecord& record) {
  ++sums.sent;
  ++sums.outcomes[record.outcome];
  if (record.outcome != CallerOutcome::kComplete) {
    return;
  }
  sums.late += record.late ? 1 : 0;
  sums.prompt_tokens += record.planned.prompt_tokens;
  sums.cached_tokens += record.cached_tokens;
  sums.first_event_ms.add(static_cast<double>(to_milliseconds(record.first_event)));
}

json to_json(const std::string& route, RouteSums& sums) {
  return {{"route", route},
          {"sent", sums.sent},
          {"complete", sums.outcomes[CallerOutcome::kComplete]},
          {"late", sums.late},
          {"refused", sums.outcomes[CallerOutcome::kRefused]},
          {"failed", sums.outcomes[CallerOutcome::kFailed]},
          {"wrong", sums.outcomes[CallerOutcome::kWrong]},
          {"first_event_p50_ms", sums.first_event_ms.quantile(0.5)},
          {"first_event_p99_ms", sums.first_event_ms.quantile(0.99)},
          {"prompt_tokens", sums.prompt_tokens},
          {"cached_tokens", sums.cached_tokens}};
}

/// How much a request is worth looking into: broken ones before refused ones before late ones.
int interest(const RequestRecord& record) {
  switch (record.outcome) {
    case CallerOutcome::kWrong:
    case CallerOutcome::kFailed:
      return 3;
    case CallerOutcome::kRefused:
      return 2;
    case CallerOutcome::kComplete:
      return record.late ? 1 : 0;
  }
  return 0;
}

std::string most_interesting(const std::vector<RequestRecord>& records) {
  std::string id;
  int highest = 0;
  for (const RequestRecord& record : records) {
    if (interest(record) > highest) {
      highest = interest(record);
      id = record.planned.id;
    }
  }
  return id;
}

}  // namespace

json make_report(const std::vector<RequestClass>& classes, const std::vector<RequestRecord>& records,
                 int64_t repeats) {
  std::vector<RouteSums> sums(classes.size());
  for (const RequestRecord& record : records) {
    add(sums[record.planned.request_class], record);
  }
  json routes = json::array();
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  for (size_t position = 0; position < classes.size(); ++position) {
    routes.push_back(to_json(classes[position].route, sums[position]));
    prompt_tokens += sums[position].prompt_tokens;
    cached_tokens += sums[position].cached_tokens;
  }
  const double share =
      prompt_tokens == 0 ? 0 : static_cast<double>(cached_tokens) / static_cast<double>(prompt_tokens);
  return {{"routes", routes},
          {"cached_share", share},
          {"repeats", repeats},
          {"to_explain", most_interesting(records)}};
}

std::string report_table(const json& report) {
  constexpr int kNameWidth = 8;
  constexpr int kWidth = 10;
  constexpr double kPercent = 100;
  std::ostringstream table;
  table << std::left << std::setw(kNameWidth) << "route" << std::right;
  for (const char* title : {"sent", "complete", "late", "refused", "failed", "wrong", "p50 ms", "p99 ms"}) {
    table << std::setw(kWidth) << title;
  }
  table << "   (ms: to the first event, or the answer)\n";
  for (const json& route : report["routes"]) {
    table << std::left << std::setw(kNameWidth) << route["route"].get<std::string>() << std::right;
    for (const char* count : {"sent", "complete", "late", "refused", "failed", "wrong"}) {
      table << std::setw(kWidth) << route[count].get<uint64_t>();
    }
    for (const char* quantile : {"first_event_p50_ms", "first_event_p99_ms"}) {
      table << std::setw(kWidth) << route[quantile].get<double>();
    }
    table << "\n";
  }
  table << std::fixed << std::setprecision(1)
        << "prompt tokens found in caches: " << kPercent * report["cached_share"].get<double>() << " %\n";
  if (report["repeats"].get<int64_t>() >= 0) {
    table << "repeats at another back end: " << report["repeats"].get<int64_t>() << "\n";
  }
  return table.str();
}

}  // namespace stoat::tools
