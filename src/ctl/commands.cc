#include "src/ctl/commands.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/control/fleet_interface.h"
#include "src/ctl/admin_connection.h"
#include "src/ctl/explain.h"
#include "src/ctl/text_table.h"

namespace stoat::ctl {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Carries out one command.
class Command {
 public:
  explicit Command(const CtlOptions& options)
      : options_(options), connection_(options.members, options.timeout) {}

  ExitStatus status();
  ExitStatus get_configuration();
  ExitStatus put_configuration();
  ExitStatus name_weights();
  ExitStatus start_rollout();
  ExitStatus show_rollout();
  ExitStatus remove_backend();
  ExitStatus explain_request();

 private:
  const std::string& argument(size_t position) const { return options_.arguments.at(position); }
  static ExitStatus bad_input(const std::string& message);
  /// Tells how a call ended, with `done` when it did well.
  static ExitStatus report(const http::ClientResult& result, const std::string& done);

  const CtlOptions& options_;
  AdminConnection connection_;
  control::FleetPaths paths_;
  control::JsonFieldNames names_;
};

ExitStatus Command::bad_input(const std::string& message) {
  std::cerr << "stoatctl: " << message << "\n";
  return ExitStatus::kBadInput;
}

ExitStatus Command::report(const http::ClientResult& result, const std::string& done) {
  if (result.status == kOk) {
    std::cout << done;
    return ExitStatus::kDone;
  }
  if (result.status == 0 || result.status == kUnavailable) {
    std::cerr << "stoatctl: no control member could do it: none answers, or none leads\n";
    return ExitStatus::kUnreachable;
  }
  std::cerr << "stoatctl: refused with " << result.status << ": " << result.body;
  return ExitStatus::kRefused;
}

ExitStatus Command::status() {
  json members = json::array();
  json routers = json::array();
  json backends = json::array();
  for (const Endpoint& member : connection_.members()) {
    const http::ClientResult answer = AdminConnection::ask(member, "GET", paths_.status);
    const json page = json::parse(answer.body, nullptr, false);
    const bool answers = answer.status == kOk && page.is_object();
    members.push_back({{"address", to_string(member)},
                       {"answers", answers},
                       {"leads", answers ? page["leads"] : json()},
                       {"voters", answers ? page["voters"] : json()},
                       {"configuration", answers ? page["configuration"] : json()}});
    if (answers && (routers.empty() || page["leads"] == true)) {
      routers = page["routers"];
      backends = page["backends"];
    }
  }
  if (options_.json) {
    std::cout << json{{"control", members}, {"routers", routers}, {"backends", backends}}.dump(2) << "\n";
  } else {
    std::cout << text_table(members) << "\n" << text_table(routers) << "\n" << text_table(backends);
  }
  const bool any = std::any_of(members.begin(), members.end(),
                               [](const json& member) { return member["answers"] == true; });
  return any ? ExitStatus::kDone : ExitStatus::kUnreachable;
}

ExitStatus Command::get_configuration() {
  const http::ClientResult result = connection_.call("GET", paths_.configuration);
  return report(result, result.body);
}

ExitStatus Command::put_configuration() {
  std::ifstream file(argument(2));
  if (!file) {
    return bad_input(argument(2) + " can't be read");
  }
  std::ostringstream document;
  document << file.rdbuf();
  return report(connection_.call("PUT", paths_.configuration, document.str()),
                "the configuration is durable\n");
}

ExitStatus Command::name_weights() {
  const std::string& text = argument(2);
  uint64_t version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size() || version == 0) {
    return bad_input("'" + text + "' is no version: a whole number above 0");
  }
  const json body = {{"model", argument(1)}, {"version", version}};
  return report(connection_.call("POST", paths_.weights, body.dump()), "the version is named\n");
}

ExitStatus Command::start_rollout() {
  const std::string& text = argument(4);
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size() || !(seconds > 0)) {
    return bad_input("'" + text + "' is no duration: seconds above 0");
  }
  const json body = {
      {"service", argument(2)}, {names_.rollout_target, argument(3)}, {names_.rollout_seconds, seconds}};
  return report(connection_.call("POST", paths_.rollouts, body.dump()), "the order is durable\n");
}

ExitStatus Command::show_rollout() {
  const http::ClientResult result = connection_.call("GET", paths_.rollouts + "/" + argument(2));
  return report(result, result.body + "\n");
}

ExitStatus Command::remove_backend() {
  return report(connection_.call("DELETE", paths_.backends + argument(2)), "the back end is retired\n");
}

ExitStatus Command::explain_request() {
  const std::vector<std::string> files(options_.arguments.begin() + 2, options_.arguments.end());
  return print_explanation(argument(1), files, std::cout, std::cerr) ? ExitStatus::kDone
                                                                     : ExitStatus::kRefused;
}

/// One command of the command line.
struct CommandEntry {
  const char* words;
  const char* arguments;
  size_t argument_count;
  const char* help;
  std::function<ExitStatus(Command&)> run;
  bool more_arguments = false;  ///< takes any number beyond argument_count
};

const std::vector<CommandEntry>& all_commands() {
  static const std::vector<CommandEntry> commands = {
      {"status", "", 0, "control members, routers and back ends", &Command::status},
      {"configuration get", "", 0, "print the configuration, confirmed to be the newest",
       &Command::get_configuration},
      {"configuration put", "FILE", 1, "put a configuration in force", &Command::put_configuration},
      {"weights", "MODEL VERSION", 2, "name the version of a model's weights that engines are to have",
       &Command::name_weights},
      {"rollout start", "SERVICE VERSION SECONDS", 3,
       "move a service's traffic to a version of its program, judged by its answers",
       &Command::start_rollout},
      {"rollout status", "SERVICE", 1, "tell how the last rollout of a service stands",
       &Command::show_rollout},
      {"backend remove", "ID", 1, "retire a back end for good", &Command::remove_backend},
      {"explain", "REQUEST_ID FILE...", 2,
       "tell from logs what happened to a request, without any connection", &Command::explain_request, true},
  };
  return commands;
}

/// How many words of a command the arguments begin with; 0 when they don't name it.
size_t matching_words(const CommandEntry& entry, const std::vector<std::string>& arguments) {
  std::istringstream words(entry.words);
  size_t count = 0;
  for (std::string word; words >> word; ++count) {
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
    std::string usage = std::string("  ") + entry.words + " " + entry.arguments;
    usage.resize(std::max<size_t>(usage.size(), 32), ' ');
    text << usage << entry.help << "\n";
  }
  return text.str();
}

ExitStatus run_command(const CtlOptions& options) {
  for (const CommandEntry& entry : all_commands()) {
    const size_t words = matching_words(entry, options.arguments);
    if (words == 0) {
      continue;
    }
    const size_t given = options.arguments.size() - words;
    if (given < entry.argument_count || (given > entry.argument_count && !entry.more_arguments)) {
      std::cerr << "stoatctl: usage: stoatctl " << entry.words << " " << entry.arguments << "\n";
      return ExitStatus::kBadInput;
    }
    Command command(options);
    return entry.run(command);
  }
  std::cerr << "stoatctl: no such command; these are known:\n" << command_help();
  return ExitStatus::kBadInput;
}

}  // namespace stoat::ctl
