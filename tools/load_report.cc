/// The report of a load generator run.
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tools/load_generator.h"
#include "tools/quantiles.h"

namespace stoat::tools {

namespace {

using nlohmann::json;

/// Totals of one route.
struct RouteTotals {
  uint64_t sent = 0;
  std::map<RequestOutcome, uint64_t> outcomes;
  uint64_t late = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  Samples times_to_first_event_ms;
};

void add(RouteTotals& totals, const RequestRecord& record) {
  ++totals.sent;
  ++totals.outcomes[record.outcome];
  if (record.outcome != RequestOutcome::kComplete) {
    return;
  }
  totals.late += record.late ? 1 : 0;
  totals.prompt_tokens += record.planned.prompt_tokens;
  totals.cached_tokens += record.cached_tokens;
  totals.times_to_first_event_ms.add(static_cast<double>(to_milliseconds(record.time_to_first_event)));
}

json to_json(const std::string& route, RouteTotals& totals) {
  return {{"route", route},
          {"sent", totals.sent},
          {"complete", totals.outcomes[RequestOutcome::kComplete]},
          {"late", totals.late},
          {"refused", totals.outcomes[RequestOutcome::kRefused]},
          {"failed", totals.outcomes[RequestOutcome::kFailed]},
          {"wrong", totals.outcomes[RequestOutcome::kWrong]},
          {"first_event_p50_ms", totals.times_to_first_event_ms.quantile(0.5)},
          {"first_event_p99_ms", totals.times_to_first_event_ms.quantile(0.99)},
          {"prompt_tokens", totals.prompt_tokens},
          {"cached_tokens", totals.cached_tokens}};
}

/// Priority for a diagnosis: wrong and failed requests first, then refused, then late ones. 0: none needed.
int explain_priority(const RequestRecord& record) {
  switch (record.outcome) {
    case RequestOutcome::kWrong:
    case RequestOutcome::kFailed:
      return 3;
    case RequestOutcome::kRefused:
      return 2;
    case RequestOutcome::kComplete:
      return record.late ? 1 : 0;
  }
  return 0;
}

/// Id of the first request with the highest priority; empty if all requests completed on time.
std::string request_to_explain(const std::vector<RequestRecord>& records) {
  std::string id;
  int highest = 0;
  for (const RequestRecord& record : records) {
    if (explain_priority(record) > highest) {
      highest = explain_priority(record);
      id = record.planned.id;
    }
  }
  return id;
}

}  // namespace

json make_report(const std::vector<RequestClass>& classes, const std::vector<RequestRecord>& records,
                 int64_t repeats) {
  std::vector<RouteTotals> totals(classes.size());
  for (const RequestRecord& record : records) {
    add(totals[record.planned.request_class], record);
  }
  json routes = json::array();
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  for (size_t position = 0; position < classes.size(); ++position) {
    routes.push_back(to_json(classes[position].route, totals[position]));
    prompt_tokens += totals[position].prompt_tokens;
    cached_tokens += totals[position].cached_tokens;
  }
  const double share =
      prompt_tokens == 0 ? 0 : static_cast<double>(cached_tokens) / static_cast<double>(prompt_tokens);
  return {{"routes", routes},
          {"cached_share", share},
          {"repeats", repeats},
          {"to_explain", request_to_explain(records)}};
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
  table << "   (ms: time to the first event or to the response)\n";
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
    table << "repeats at another backend: " << report["repeats"].get<int64_t>() << "\n";
  }
  return table.str();
}

}  // namespace stoat::tools
