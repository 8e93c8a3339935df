#include "src/ctl/explain.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <ostream>

#include "src/events/fleet_events.h"
#include "src/events/request_events.h"

namespace stoat::ctl {

namespace {

using LineDescriber = std::function<std::string(const LogLine&)>;

std::string describe_wait(const LogLine& line) {
  const std::string limited = line.field("limited");
  const bool any_limited = !limited.empty() && limited != "0";
  return "waits: of " + line.field("known") + " back ends, " + line.field("tried") + " had it already and " +
         line.field("loading") + " load weights; " + (any_limited ? limited + " have limits; " : "") +
         "the others are not usable";
}

/// True if the request is for the rest of a stream, after its last known event.
bool resumes_stream(const LogLine& line) {
  const std::string event = line.field("last_event_id");
  return !event.empty() && event != "-1";
}

std::string describe_accepted(const LogLine& line) {
  std::string text = "came in on route " + line.field("route") + " for service " + line.field("service") +
                     " under configuration " + line.field("version") + ", with " +
                     line.field("time_left_ms") + " ms";
  if (resumes_stream(line)) {
    text += ", to resume a stream after event " + line.field("last_event_id");
    text += line.field("resumes").empty() ? "" : " that request " + line.field("resumes") + " began";
  }
  return text;
}

std::string describe_send(const LogLine& line) {
  const std::string software = line.field("software");
  std::string text =
      "sent to " + line.field("backend") + (software.empty() ? "" : " (version " + software + ")") +
      ", one of " + line.field("candidates") + " that could take it, which had " + line.field("outstanding") +
      " requests and " + line.field("queued_tokens") + " prompt tokens to read";
  if (!line.field("cache_source").empty()) {
    text += "; KV cache from " + line.field("cache_source");
  }
  if (!line.field("copy_of").empty()) {
    text += "; it goes on from the copy of " + line.field("copy_of");
  }
  if (resumes_stream(line)) {
    text += "; the stream goes on after event " + line.field("last_event_id");
  }
  return text;
}

std::string describe_not_run(const LogLine& line) {
  return line.field("status") == "0"
             ? "no connection to " + line.field("backend")
             : line.field("backend") + " said with " + line.field("status") + " that it did not run it";
}

std::string describe_failure(const LogLine& line) {
  std::string text = "the exchange with " + line.field("backend") + " failed: " + line.field("failure");
  text += line.field("streaming") == "true" ? ", in the middle of the stream" : ", before any answer";
  return text + (line.field("ejected") == "true" ? "; it gets no requests for a while" : "");
}

std::string describe_end(const LogLine& line) {
  const std::string status = line.field("status");
  std::string text = "ended after " + line.field("ms") + " ms: " + line.field("outcome") + ", ";
  text += status == "0" ? "the connection was closed" : "status " + status;
  if (line.field("first_event_ms") != "-1") {
    text += "; first event after " + line.field("first_event_ms") + " ms, longest pause " +
            line.field("longest_pause_ms") + " ms";
  }
  return text + (line.field("late") == "true" ? "; beyond the route's objective" : "");
}

const std::map<std::string, LineDescriber>& describers() {
  static const std::map<std::string, LineDescriber> describer_of = {
      {events::RequestAccepted::kMessage, describe_accepted},
      {events::RequestWaitingForBackend::kMessage, describe_wait},
      {events::RequestSent::kMessage, describe_send},
      {events::RequestNotRun::kMessage, describe_not_run},
      {events::ExchangeFailed::kMessage, describe_failure},
      {events::RequestQuarantined::kMessage,
       [](const LogLine& line) {
         return "not sent: " + line.field("crashes") +
                " back ends crashed under requests like it (fingerprint " + line.field("fingerprint") +
                "), so none is for " + line.field("left_ms") + " ms";
       }},
      {events::StreamOriginSearched::kMessage,
       [](const LogLine& line) {
         return line.field("source") == "unknown"
                    ? "can't go on: nobody knows at which version its stream began"
                    : "its stream began at version " + line.field("software") +
                          " (known from: " + line.field("source") + "), and goes on only there";
       }},
      {events::RequestNotRetried::kMessage,
       [](const LogLine& line) { return "not sent again: " + line.field("reason"); }},
      {events::KvCacheCopyNotUsed::kMessage,
       [](const LogLine& line) {
         return "did not go on from the copy of its run at " + line.field("backend") + ": " +
                line.field("reason");
       }},
      {events::RequestEnded::kMessage, describe_end},
      {events::RequestRejected::kMessage,
       [](const LogLine& line) {
         return "turned away with " + line.field("status") + ": " + line.field("reason") +
                " (configuration " + line.field("version") + ", key lease " + line.field("keys_left_ms") +
                " ms)";
       }},
  };
  return describer_of;
}

bool is_fleet_event(const LogLine& line) {
  static const std::vector<std::string> fleet_events = {events::ConfigurationInForce::kMessage,
                                                        events::TargetWeightsChanged::kMessage,
                                                        events::BackendChanged::kMessage,
                                                        events::BackendLimitChanged::kMessage,
                                                        events::BackendCrashed::kMessage,
                                                        events::RequestStandingChanged::kMessage,
                                                        events::KeyLeaseChanged::kMessage,
                                                        events::ControlMemberChanged::kMessage,
                                                        events::LeaderChanged::kMessage,
                                                        events::KvCacheStoreChanged::kMessage,
                                                        events::CacheSubscriptionChanged::kMessage,
                                                        events::RouterChanged::kMessage,
                                                        events::MembersChanged::kMessage,
                                                        "started",
                                                        "stopping",
                                                        "stopped",
                                                        "leads",
                                                        "leads no more"};
  return std::find(fleet_events.begin(), fleet_events.end(), line.log_message) != fleet_events.end();
}

void sort_by_time(std::vector<LocatedLine>& lines) {
  std::stable_sort(lines.begin(), lines.end(), [](const LocatedLine& left, const LocatedLine& right) {
    return left.line.time < right.line.time;
  });
}

/// False for an event of a backend that no line of the request names.
bool is_relevant(const LocatedLine& entry, const std::vector<LocatedLine>& request_lines) {
  const std::string backend = entry.line.field("backend");
  return backend.empty() ||
         std::any_of(request_lines.begin(), request_lines.end(),
                     [&](const LocatedLine& other) { return other.line.field("backend") == backend; });
}

/// Summarizes the outcome of the request and its causes.
std::string summarize(const std::vector<LocatedLine>& request_lines) {
  if (request_lines.empty()) {
    return "No line names it: it ended well and was not in the sample, it left no room in a busy second, or "
           "it "
           "never came in.";
  }
  const LogLine& last = request_lines.back().line;
  if (last.log_message == events::RequestRejected::kMessage) {
    return "It was " + describe(last) + ".";
  }
  if (last.log_message != events::RequestEnded::kMessage) {
    return "Its end is not in these logs; the last that is known: " + describe(last) + ".";
  }
  std::string reason;
  for (const LocatedLine& entry : request_lines) {
    if (entry.line.log_message != events::RequestEnded::kMessage &&
        entry.line.log_message != events::RequestAccepted::kMessage &&
        entry.line.log_message != events::RequestSent::kMessage) {
      reason += (reason.empty() ? "" : "; ") + describe(entry.line);
    }
  }
  return "It " + describe(last) + (reason.empty() ? "." : ", because: " + reason + ".");
}

}  // namespace

void read_log(std::istream& input, const std::string& file, std::vector<LocatedLine>& lines,
              Findings& findings) {
  size_t line_number = 0;
  for (std::string text; std::getline(input, text);) {
    ++line_number;
    if (text.empty()) {
      continue;
    }
    auto line = parse_log_line(text);
    if (line) {
      lines.push_back({file, line_number, std::move(*line)});
      continue;
    }
    Finding finding;
    finding.file = file;
    finding.line = static_cast<int>(line_number);
    finding.message = line.error();
    findings.add(finding);
  }
}

std::string describe(const LogLine& line) {
  const auto describer = describers().find(line.log_message);
  if (describer != describers().end()) {
    return describer->second(line);
  }
  std::string text = line.log_message;
  for (const LogField& field : line.fields) {
    if (field.key != "request") {
      text += " " + field.key + "=" + field.value;
    }
  }
  return text;
}

Explanation explain(const std::string& request_id, const std::vector<LocatedLine>& lines) {
  Explanation result;
  for (const LocatedLine& entry : lines) {
    if (entry.line.field("request") == request_id) {
      result.request_lines.push_back(entry);
    }
  }
  sort_by_time(result.request_lines);
  result.summary = summarize(result.request_lines);
  if (result.request_lines.empty()) {
    return result;
  }
  constexpr std::chrono::milliseconds kContextBefore{2000};
  const LogTime begin = result.request_lines.front().line.time - kContextBefore;
  const LogTime end = result.request_lines.back().line.time;
  for (const LocatedLine& entry : lines) {
    const bool during = entry.line.time >= begin && entry.line.time <= end;
    const bool same_process = std::any_of(result.request_lines.begin(), result.request_lines.end(),
                                          [&](const LocatedLine& other) { return other.file == entry.file; });
    if (during && same_process && is_fleet_event(entry.line) && is_relevant(entry, result.request_lines)) {
      result.related_events.push_back(entry);
    }
  }
  sort_by_time(result.related_events);
  return result;
}

bool print_explanation(const std::string& request_id, const std::vector<std::string>& files,
                       std::ostream& output, std::ostream& errors) {
  std::vector<LocatedLine> lines;
  Findings findings;
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      Finding finding;
      finding.file = file;
      finding.message = "cannot be read";
      findings.add(finding);
      continue;
    }
    read_log(input, file, lines, findings);
  }
  errors << findings.to_text();
  const Explanation explanation = explain(request_id, lines);
  std::vector<LocatedLine> all = explanation.request_lines;
  all.insert(all.end(), explanation.related_events.begin(), explanation.related_events.end());
  sort_by_time(all);
  for (const LocatedLine& entry : all) {
    const auto offset = entry.line.time - explanation.request_lines.front().line.time;
    const bool names_request = !entry.line.field("request").empty();
    output << (names_request ? "" : "  ") << (offset.count() < 0 ? "" : "+") << offset.count() << " ms  "
           << entry.file << ":" << entry.line_number << "  " << (names_request ? "" : "meanwhile: ")
           << describe(entry.line) << "\n";
  }
  output << explanation.summary << "\n";
  return !explanation.request_lines.empty();
}

}  // namespace stoat::ctl
