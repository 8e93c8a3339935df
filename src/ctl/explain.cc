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

using Words = std::function<std::string(const LogLine&)>;

std::string waits_in_words(const LogLine& line) {
  const std::string limited = line.field("limited");
  const bool any_limited = !limited.empty() && limited != "0";
  return "waits: of " + line.field("known") + " back ends, " + line.field("tried") + " had it already and " +
         line.field("loading") + " load weights; " + (any_limited ? limited + " have limits; " : "") +
         "the others are not usable";
}

std::string sent_in_words(const LogLine& line) {
  std::string text = "sent to " + line.field("backend") + ", one of " + line.field("candidates") +
                     " that could take it, which had " + line.field("outstanding") + " requests and " +
                     line.field("queued_tokens") + " prompt tokens to read";
  if (!line.field("cache_source").empty()) {
    text += "; KV cache from " + line.field("cache_source");
  }
  if (!line.field("copy_of").empty()) {
    text += "; it goes on from the copy of " + line.field("copy_of");
  }
  return text;
}

std::string not_run_in_words(const LogLine& line) {
  return line.field("status") == "0"
             ? "no connection to " + line.field("backend")
             : line.field("backend") + " said with " + line.field("status") + " that it did not run it";
}

std::string failed_in_words(const LogLine& line) {
  std::string text = "the exchange with " + line.field("backend") + " failed: " + line.field("failure");
  text += line.field("streaming") == "true" ? ", in the middle of the stream" : ", before any answer";
  return text + (line.field("ejected") == "true" ? "; it gets no requests for a while" : "");
}

std::string ended_in_words(const LogLine& line) {
  const std::string status = line.field("status");
  std::string text = "ended after " + line.field("ms") + " ms: " + line.field("outcome") + ", ";
  text += status == "0" ? "the connection was closed" : "status " + status;
  if (line.field("first_event_ms") != "-1") {
    text += "; first event after " + line.field("first_event_ms") + " ms, longest pause " +
            line.field("longest_pause_ms") + " ms";
  }
  return text + (line.field("late") == "true" ? "; beyond the route's objective" : "");
}

const std::map<std::string, Words>& phrases() {
  static const std::map<std::string, Words> phrase_of = {
      {events::RequestAccepted::kMessage,
       [](const LogLine& line) {
         return "came in on route " + line.field("route") + " for service " + line.field("service") +
                " under configuration " + line.field("version") + ", with " + line.field("time_left_ms") +
                " ms";
       }},
      {events::RequestWaitingForBackend::kMessage, waits_in_words},
      {events::RequestSent::kMessage, sent_in_words},
      {events::RequestNotRun::kMessage, not_run_in_words},
      {events::ExchangeFailed::kMessage, failed_in_words},
      {events::RequestQuarantined::kMessage,
       [](const LogLine& line) {
         return "not sent: " + line.field("crashes") +
                " back ends crashed under requests like it (fingerprint " + line.field("fingerprint") +
                "), so none is for " + line.field("left_ms") + " ms";
       }},
      {events::RequestNotRetried::kMessage,
       [](const LogLine& line) { return "not sent again: " + line.field("reason"); }},
      {events::KvCacheCopyNotUsed::kMessage,
       [](const LogLine& line) {
         return "did not go on from the copy of its run at " + line.field("backend") + ": " +
                line.field("reason");
       }},
      {events::RequestEnded::kMessage, ended_in_words},
      {events::RequestRejected::kMessage,
       [](const LogLine& line) {
         return "turned away with " + line.field("status") + ": " + line.field("reason") +
                " (configuration " + line.field("version") + ", key lease " + line.field("keys_left_ms") +
                " ms)";
       }},
  };
  return phrase_of;
}

bool is_fleet_event(const LogLine& line) {
  static const std::vector<std::string> sentences = {events::ConfigurationInForce::kMessage,
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
  return std::find(sentences.begin(), sentences.end(), line.log_message) != sentences.end();
}

void sort_by_time(std::vector<PlacedLine>& lines) {
  std::stable_sort(lines.begin(), lines.end(), [](const PlacedLine& left, const PlacedLine& right) {
    return left.line.time < right.line.time;
  });
}

/// False for a change of a back end that the request's lines don't name.
bool concerns(const PlacedLine& entry, const std::vector<PlacedLine>& request) {
  const std::string backend = entry.line.field("backend");
  return backend.empty() || std::any_of(request.begin(), request.end(), [&](const PlacedLine& line) {
           return line.line.field("backend") == backend;
         });
}

/// The end and all that led to it, in one log_message.
std::string conclude(const std::vector<PlacedLine>& request) {
  if (request.empty()) {
    return "No line names it: it ended well and was not in the sample, it left no room in a busy second, or "
           "it "
           "never came in.";
  }
  const LogLine& last = request.back().line;
  if (last.log_message == events::RequestRejected::kMessage) {
    return "It was " + in_words(last) + ".";
  }
  if (last.log_message != events::RequestEnded::kMessage) {
    return "Its end is not in these logs; the last that is known: " + in_words(last) + ".";
  }
  std::string reason;
  for (const PlacedLine& entry : request) {
    if (entry.line.log_message != events::RequestEnded::kMessage &&
        entry.line.log_message != events::RequestAccepted::kMessage &&
        entry.line.log_message != events::RequestSent::kMessage) {
      reason += (reason.empty() ? "" : "; ") + in_words(entry.line);
    }
  }
  return "It " + in_words(last) + (reason.empty() ? "." : ", because: " + reason + ".");
}

}  // namespace

void read_log(std::istream& input, const std::string& file, std::vector<PlacedLine>& lines,
              Findings& findings) {
  size_t number = 0;
  for (std::string text; std::getline(input, text);) {
    ++number;
    if (text.empty()) {
      continue;
    }
    auto line = parse_log_line(text);
    if (line) {
      lines.push_back({file, number, std::move(*line)});
      continue;
    }
    Finding finding;
    finding.file = file;
    finding.line = static_cast<int>(number);
    finding.message = line.error();
    findings.add(finding);
  }
}

std::string in_words(const LogLine& line) {
  const auto phrase = phrases().find(line.log_message);
  if (phrase != phrases().end()) {
    return phrase->second(line);
  }
  std::string text = line.log_message;
  for (const LogField& field : line.fields) {
    if (field.key != "request") {
      text += " " + field.key + "=" + field.value;
    }
  }
  return text;
}

Explanation explain(const std::string& request, const std::vector<PlacedLine>& lines) {
  Explanation result;
  for (const PlacedLine& entry : lines) {
    if (entry.line.field("request") == request) {
      result.request.push_back(entry);
    }
  }
  sort_by_time(result.request);
  result.conclusion = conclude(result.request);
  if (result.request.empty()) {
    return result;
  }
  constexpr std::chrono::milliseconds kBefore{2000};
  const LogTime begin = result.request.front().line.time - kBefore;
  const LogTime end = result.request.back().line.time;
  for (const PlacedLine& entry : lines) {
    const bool during = entry.line.time >= begin && entry.line.time <= end;
    const bool same_process = std::any_of(result.request.begin(), result.request.end(),
                                          [&](const PlacedLine& line) { return line.file == entry.file; });
    if (during && same_process && is_fleet_event(entry.line) && concerns(entry, result.request)) {
      result.around.push_back(entry);
    }
  }
  sort_by_time(result.around);
  return result;
}

bool print_explanation(const std::string& request, const std::vector<std::string>& files,
                       std::ostream& output, std::ostream& errors) {
  std::vector<PlacedLine> lines;
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
  const Explanation explanation = explain(request, lines);
  std::vector<PlacedLine> all = explanation.request;
  all.insert(all.end(), explanation.around.begin(), explanation.around.end());
  sort_by_time(all);
  for (const PlacedLine& entry : all) {
    const auto offset = entry.line.time - explanation.request.front().line.time;
    const bool own = !entry.line.field("request").empty();
    output << (own ? "" : "  ") << (offset.count() < 0 ? "" : "+") << offset.count() << " ms  " << entry.file
           << ":" << entry.number << "  " << (own ? "" : "meanwhile: ") << in_words(entry.line) << "\n";
  }
  output << explanation.conclusion << "\n";
  return !explanation.request.empty();
}

}  // namespace stoat::ctl
