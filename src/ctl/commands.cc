#include "src/ctl/commands.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/common/json_text.h"
#include "src/control/fleet_interface.h"
#include "src/ctl/admin_connection.h"
#include "src/ctl/explain.h"
#include "src/ctl/text_table.h"

namespace stoat::ctl {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// A field of an object; null if it is missing, or if the value is no object.
json field(const json& object, const std::string& name) {
  return object.is_object() ? object.value(name, json()) : json();
}

/// Executes one command.
class Command {
 public:
  explicit Command(const CtlOptions& options)
      : options_(options), connection_(options.members, options.timeout) {}

  ExitStatus status();
  ExitStatus get_configuration();
  ExitStatus put_configuration();
  ExitStatus set_weights();
  ExitStatus start_rollout();
  ExitStatus rollout_status();
  ExitStatus remove_backend();
  ExitStatus explain_request();

 private:
  /// The status page that a member answered with; null if it has not answered or the page can't be read.
  static json read_status(const Endpoint& member, const http::ClientResult& answer);
  const std::string& argument(size_t position) const { return options_.arguments.at(position); }
  static ExitStatus report_bad_input(const std::string& message);
  /// Prints the result of a call; `success_message` if the call succeeded.
  static ExitStatus report_result(const http::ClientResult& result, const std::string& success_message);

  const CtlOptions& options_;
  AdminConnection connection_;
  control::FleetPaths paths_;
  control::JsonFieldNames names_;
};

ExitStatus Command::report_bad_input(const std::string& message) {
  std::cerr << "stoatctl: " << message << "\n";
  return ExitStatus::kBadInput;
}

ExitStatus Command::report_result(const http::ClientResult& result, const std::string& success_message) {
  if (result.status == kOk) {
    std::cout << success_message;
    return ExitStatus::kDone;
  }
  if (result.status == 0 || result.status == kUnavailable) {
    std::cerr << "stoatctl: no control member could do it: none answers, or none leads\n";
    return ExitStatus::kUnreachable;
  }
  std::cerr << "stoatctl: refused with " << result.status << ": " << result.body;
  return ExitStatus::kRefused;
}

json Command::read_status(const Endpoint& member, const http::ClientResult& answer) {
  if (answer.status != kOk) {
    return {};
  }
  auto page = parse_json(answer.body, to_string(member));
  if (!page) {
    std::cerr << "stoatctl: " << to_string(page.error()) << "\n";
  }
  return std::move(page).value_or(json());
}

ExitStatus Command::status() {
  json members = json::array();
  json routers = json::array();
  json backends = json::array();
  for (const Endpoint& member : connection_.members()) {
    const http::ClientResult answer = AdminConnection::call_member(member, "GET", paths_.status);
    const json status_body = read_status(member, answer);
    const bool answers = status_body.is_object();
    members.push_back({{"address", to_string(member)},
                       {"answers", answers},
                       {"leads", field(status_body, "leads")},
                       {"voters", field(status_body, "voters")},
                       {"configuration", field(status_body, "configuration")}});
    if (answers && (routers.empty() || field(status_body, "leads") == true)) {
      routers = field(status_body, "routers");
      backends = field(status_body, "backends");
    }
  }
  if (options_.json) {
    std::cout << json{{"control", members}, {"routers", routers}, {"backends", backends}}.dump(2) << "\n";
  } else {
    std::cout << format_table(members) << "\n" << format_table(routers) << "\n" << format_table(backends);
  }
  const bool any_answers = std::any_of(members.begin(), members.end(),
                                       [](const json& member) { return member["answers"] == true; });
  return any_answers ? ExitStatus::kDone : ExitStatus::kUnreachable;
}

ExitStatus Command::get_configuration() {
  const http::ClientResult result = connection_.call("GET", paths_.configuration);
  return report_result(result, result.body);
}

ExitStatus Command::put_configuration() {
  std::ifstream file(argument(2));
  if (!file) {
    return report_bad_input(argument(2) + " can't be read");
  }
  std::ostringstream document;
  document << file.rdbuf();
  return report_result(connection_.call("PUT", paths_.configuration, document.str()),
                       "the configuration is durable\n");
}

ExitStatus Command::set_weights() {
  const std::string& text = argument(2);
  uint64_t version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size() || version == 0) {
    return report_bad_input("'" + text + "' is no version: a whole number above 0");
  }
  const json body = {{"model", argument(1)}, {"version", version}};
  return report_result(connection_.call("POST", paths_.weights, body.dump()), "the version is named\n");
}

ExitStatus Command::start_rollout() {
  const std::string& text = argument(4);
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size() || !(seconds > 0)) {
    return report_bad_input("'" + text + "' is no duration: seconds above 0");
  }
  const json body = {
      {"service", argument(2)}, {names_.rollout_target, argument(3)}, {names_.rollout_seconds, seconds}};
  return report_result(connection_.call("POST", paths_.rollouts, body.dump()), "the order is durable\n");
}

ExitStatus Command::rollout_status() {
  const http::ClientResult result = connection_.call("GET", paths_.rollouts + "/" + argument(2));
  return report_result(result, result.body + "\n");
}

ExitStatus Command::remove_backend() {
  return report_result(connection_.call("DELETE", paths_.backends + argument(2)),
                       "the back end is retired\n");
}

ExitStatus Command::explain_request() {
  const std::vector<std::string> files(options_.arguments.begin() + 2, options_.arguments.end());
  return print_explanation(argument(1), files, std::cout, std::cerr) ? ExitStatus::kDone
                                                                     : ExitStatus::kRefused;
}

/// One entry of the command table.
struct CommandEntry {
  const char* name;       ///< one or two words
  const char* arguments;  ///< names of the arguments, for the usage text
  size_t argument_count;
  const char* help;
  std::function<ExitStatus(Command&)> run;
  bool variadic = false;  ///< accepts more than argument_count arguments
};

const std::vector<CommandEntry>& all_commands() {
  static const std::vector<CommandEntry> commands = {
      {"status", "", 0, "control members, routers and back ends", &Command::status},
      {"configuration get", "", 0, "print the configuration, confirmed to be the newest",
       &Command::get_configuration},
      {"configuration put", "FILE", 1, "put a configuration in force", &Command::put_configuration},
      {"weights", "MODEL VERSION", 2, "name the version of a model's weights that engines are to have",
       &Command::set_weights},
      {"rollout start", "SERVICE VERSION SECONDS", 3,
       "move a service's traffic to a version of its program, judged by its answers",
       &Command::start_rollout},
      {"rollout status", "SERVICE", 1, "tell how the last rollout of a service stands",
       &Command::rollout_status},
      {"backend remove", "ID", 1, "retire a back end for good", &Command::remove_backend},
      {"explain", "REQUEST_ID FILE...", 2,
       "tell from logs what happened to a request, without any connection", &Command::explain_request, true},
  };
  return commands;
}

/// Number of words in the command's name if the arguments begin with that name; 0 otherwise.
size_t matching_words(const CommandEntry& entry, const std::vector<std::string>& arguments) {
  std::istringstream name_words(entry.name);
  size_t count = 0;
  for (std::string word; name_words >> word; ++count) {
    if (count >= arguments.size() || arguments[count] != word) {
      return 0;
    }
  }
  return count;
}

}  // namespace

std::string command_help() {
  std::ostringstream text;
  for (const CommandEntry& entry : all_commands()) {
    std::string usage = std::string("  ") + entry.name + " " + entry.arguments;
    usage.resize(std::max<size_t>(usage.size(), 32), ' ');
    text << usage << entry.help << "\n";
  }
  return text.str();
}

ExitStatus run_command(const CtlOptions& options) {
  for (const CommandEntry& entry : all_commands()) {
    const size_t name_length = matching_words(entry, options.arguments);
    if (name_length == 0) {
      continue;
    }
    const size_t given_count = options.arguments.size() - name_length;
    if (given_count < entry.argument_count || (given_count > entry.argument_count && !entry.variadic)) {
      std::cerr << "stoatctl: usage: stoatctl " << entry.name << " " << entry.arguments << "\n";
      return ExitStatus::kBadInput;
    }
    Command command(options);
    return entry.run(command);
  }
  std::cerr << "stoatctl: no such command; these are known:\n" << command_help();
  return ExitStatus::kBadInput;
}

}  // namespace stoat::ctl
