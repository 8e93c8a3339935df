#include "src/ctl/commands.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

#include "src/common/hash.h"
#include "src/common/random.h"
#include "src/control/configuration_json.h"
#include "src/ctl/explain.h"
#include "src/ctl/policy_csv.h"
#include "src/ctl/text_table.h"

namespace stoat::ctl {

namespace {

using nlohmann::json;

constexpr Duration kWaitPoll = 200ms;

/// Carries out one command.
class Command {
 public:
  explicit Command(const CtlOptions& options)
      : options_(options),
        connection_(options.members, options.operator_key, std::chrono::seconds(options.timeout_s)) {}

  ExitStatus status();
  ExitStatus show_history();
  ExitStatus show_nodes();
  ExitStatus show_members();
  ExitStatus replace_member();
  ExitStatus list(const char* section);
  ExitStatus add_tenant();
  ExitStatus set_model();
  ExitStatus add_backend();
  ExitStatus set_draining(bool draining);
  ExitStatus remove(const char* kind);
  ExitStatus order_load();
  ExitStatus show_orders();
  ExitStatus table_get();
  ExitStatus table_check();
  ExitStatus explain_request();
  ExitStatus table_diff();
  ExitStatus table_apply();

 private:
  const std::string& argument(size_t position) const { return options_.arguments.at(position); }
  ExitStatus fail(const AdminError& error) const;
  ExitStatus bad_input(const std::string& message) const;
  ExitStatus show(const char* path, const char* section);
  /// Proposes a change of one item, e.g. {"tenant": item}.
  ExitStatus change(const char* item_kind, const json& item);
  ExitStatus wait_in_force(uint64_t version);
  /// Asks again and again until `condition` holds; false when the time limit passes first.
  bool wait_until(const std::function<bool()>& condition) const;
  std::string request_id() const;
  bool read_table(control::PolicyTable& table);
  tl::expected<control::PolicyTable, AdminError> present_table();

  const CtlOptions& options_;
  AdminConnection connection_;
};

ExitStatus Command::fail(const AdminError& error) const {
  std::cerr << "stoatctl: " << error.code << ": " << error.message << "\n";
  if (error.http_status == 0 || error.http_status == 503) {
    return ExitStatus::kUnreachable;
  }
  return error.http_status == 409 ? ExitStatus::kConflict : ExitStatus::kRefused;
}

ExitStatus Command::bad_input(const std::string& message) const {
  std::cerr << "stoatctl: " << message << "\n";
  return ExitStatus::kBadInput;
}

std::string Command::request_id() const {
  return options_.request_id.empty() ? "ctl-" + to_hex(seed_from_device()) : options_.request_id;
}

ExitStatus Command::show(const char* path, const char* section) {
  const auto answer = connection_.get(path);
  if (!answer) {
    return fail(answer.error());
  }
  if (options_.json) {
    std::cout << answer->dump(2) << "\n";
  } else {
    std::cout << text_table(answer->at(section));
  }
  return ExitStatus::kDone;
}

ExitStatus Command::show_history() { return show("/v1/history", "history"); }
ExitStatus Command::show_nodes() { return show("/v1/nodes", "nodes"); }
ExitStatus Command::show_members() { return show("/v1/members", "members"); }
ExitStatus Command::show_orders() { return show("/v1/orders", "orders"); }
ExitStatus Command::list(const char* section) { return show("/v1/configuration", section); }

ExitStatus Command::status() {
  json members = json::array();
  for (const Endpoint& member : connection_.members()) {
    const json page = connection_.get_from(member, "/status");
    const bool answers = page.is_object();
    members.push_back({{"admin", to_string(member)},
                       {"name", answers ? page["name"] : json("?")},
                       {"answers", answers},
                       {"leads", answers && page["leads"] == true},
                       {"voter", answers && page["voter"] == true},
                       {"term", answers ? page["term"] : json()},
                       {"commit_index", answers ? page["commit_index"] : json()},
                       {"version", answers ? page["version"] : json()},
                       {"quorum_age_ms", answers ? page["quorum_age_ms"] : json()}});
  }
  const auto nodes = connection_.get("/v1/nodes");
  if (options_.json) {
    std::cout << json{{"control", members}, {"nodes", nodes ? nodes->at("nodes") : json()}}.dump(2) << "\n";
  } else {
    std::cout << text_table(members);
    if (nodes) {
      std::cout << "\n" << text_table(nodes->at("nodes"));
    }
  }
  return nodes ? ExitStatus::kDone : fail(nodes.error());
}

ExitStatus Command::replace_member() {
  const std::string& name = argument(2);
  const auto answer = connection_.post("/v1/members/replace", {{"name", name}});
  if (!answer) {
    return fail(answer.error());
  }
  const auto votes = [&] {
    const auto members = connection_.get("/v1/members");
    bool voting = false;
    bool one_of_the_name = true;
    for (const json& member : members ? members->at("members") : json::array()) {
      if (member["name"] == name) {
        one_of_the_name = !voting;
        voting = member["state"] == "voting";
      }
    }
    return voting && one_of_the_name && members->at("waiting_to_join").empty();
  };
  if (options_.wait && !wait_until(votes)) {
    std::cerr << "stoatctl: " << name
              << " does not vote yet; a second loss now could stop the control members\n";
    return ExitStatus::kNotInForceYet;
  }
  std::cout << name << (options_.wait ? " has caught up and votes\n" : " is catching up\n");
  return ExitStatus::kDone;
}

ExitStatus Command::change(const char* item_kind, const json& item) {
  json items = json::array();
  items.push_back(json::object());
  items.back()[item_kind] = item;
  json body = {{"operator_request_id", request_id()}, {"operator", options_.operator_name}, {"items", items}};
  if (options_.base_version >= 0) {
    body["base_version"] = static_cast<uint64_t>(options_.base_version);
  } else {
    const auto present = connection_.get("/v1/configuration");
    if (!present) {
      return fail(present.error());
    }
    body["base_version"] = present->at("version");
  }
  const auto answer = connection_.post("/v1/changes", body);
  if (!answer) {
    return fail(answer.error());
  }
  if (options_.json) {
    std::cout << answer->dump(2) << "\n";
  } else {
    std::cout << "accepted as version " << answer->at("version") << "\n";
  }
  return options_.wait ? wait_in_force(answer->at("version").get<uint64_t>()) : ExitStatus::kDone;
}

bool Command::wait_until(const std::function<bool()>& condition) const {
  const TimePoint give_up_at = monotonic_now() + std::chrono::seconds(options_.timeout_s);
  while (!condition()) {
    if (monotonic_now() >= give_up_at) {
      return false;
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
  return true;
}

ExitStatus Command::wait_in_force(uint64_t version) {
  std::string behind;
  size_t node_count = 0;
  const auto in_force = [&] {
    const auto nodes = connection_.get("/v1/nodes");
    behind.clear();
    for (const json& node : nodes ? nodes->at("nodes") : json::array()) {
      if (node["version"].get<uint64_t>() < version) {
        behind += " " + node["name"].get<std::string>();
      }
    }
    node_count = nodes ? nodes->at("nodes").size() : 0;
    return nodes && behind.empty();
  };
  if (!wait_until(in_force)) {
    std::cerr << "stoatctl: version " << version << " is not in force on:" << behind << "\n";
    return ExitStatus::kNotInForceYet;
  }
  std::cout << "in force on " << node_count << " nodes\n";
  return ExitStatus::kDone;
}

ExitStatus Command::add_tenant() {
  if (options_.api_key.empty()) {
    return bad_input("--api-key must be given");
  }
  return change(
      "tenant",
      {{"name", argument(2)}, {"sharing_group", options_.sharing_group}, {"api_keys", {options_.api_key}}});
}

ExitStatus Command::set_model() {
  if (options_.weights_version.empty()) {
    return bad_input("--weights must be given");
  }
  return change(
      "model",
      {{"name", argument(2)}, {"weights_version", options_.weights_version}, {"adapter", options_.adapter}});
}

ExitStatus Command::add_backend() {
  Endpoint endpoint;
  if (!parse_endpoint(options_.endpoint, endpoint)) {
    return bad_input("--endpoint must be ADDRESS:PORT");
  }
  if (options_.serves.empty()) {
    return bad_input("--serves must be given");
  }
  return change("backend", {{"name", argument(2)},
                            {"kind", options_.kind},
                            {"serves", options_.serves},
                            {"endpoint", options_.endpoint},
                            {"zone", options_.zone}});
}

ExitStatus Command::set_draining(bool draining) {
  const auto present = connection_.get("/v1/configuration");
  if (!present) {
    return fail(present.error());
  }
  for (json backend : present->at("backends")) {
    if (backend["name"] == argument(2)) {
      backend["draining"] = draining;
      return change("backend", backend);
    }
  }
  std::cerr << "stoatctl: no back end is named '" << argument(2) << "'\n";
  return ExitStatus::kRefused;
}

ExitStatus Command::remove(const char* kind) {
  return change("remove", {{"kind", kind}, {"name", argument(2)}});
}

ExitStatus Command::order_load() {
  const auto answer = connection_.post(
      "/v1/orders",
      {{"backend", argument(2)}, {"weights_version", argument(3)}, {"operator_request_id", request_id()}});
  if (!answer) {
    return fail(answer.error());
  }
  std::cout << "ordered, fence " << answer->at("version") << "\n";
  const auto carried_out = [&] {
    const auto orders = connection_.get("/v1/orders");
    for (const json& order : orders ? orders->at("orders") : json::array()) {
      if (order["backend"] == argument(2) && order["complete"] == true) {
        return true;
      }
    }
    return false;
  };
  if (!options_.wait) {
    return ExitStatus::kDone;
  }
  if (!wait_until(carried_out)) {
    std::cerr << "stoatctl: the order is not carried out yet\n";
    return ExitStatus::kNotInForceYet;
  }
  std::cout << "carried out\n";
  return ExitStatus::kDone;
}

tl::expected<control::PolicyTable, AdminError> Command::present_table() {
  const auto answer = connection_.get("/v1/configuration");
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  Findings findings;
  const auto items = control::items_from_json(json::array({{{"table", answer->at("table")}}}), findings);
  return std::get<control::PolicyTable>(items.front().value);
}

bool Command::read_table(control::PolicyTable& table) {
  std::ifstream file(argument(2));
  Findings findings;
  if (!file) {
    findings.add({argument(2), 0, 0, "", "can't be opened"});
  } else {
    std::ostringstream text;
    text << file.rdbuf();
    table = parse_policy_csv(argument(2), text.str(), findings);
  }
  std::cerr << findings.to_text();
  return findings.empty();
}

ExitStatus Command::table_get() {
  const auto table = present_table();
  if (!table) {
    return fail(table.error());
  }
  std::cout << to_policy_csv(*table);
  return ExitStatus::kDone;
}

ExitStatus Command::explain_request() {
  const std::vector<std::string> files(options_.arguments.begin() + 2, options_.arguments.end());
  const bool known = print_explanation(options_.arguments[1], files, std::cout, std::cerr);
  return known ? ExitStatus::kDone : ExitStatus::kRefused;
}

ExitStatus Command::table_check() {
  control::PolicyTable table;
  if (!read_table(table)) {
    return ExitStatus::kBadInput;
  }
  std::cout << table.rows.size() << " rows, no findings\n";
  return ExitStatus::kDone;
}

ExitStatus Command::table_diff() {
  control::PolicyTable table;
  if (!read_table(table)) {
    return ExitStatus::kBadInput;
  }
  const auto present = present_table();
  if (!present) {
    return fail(present.error());
  }
  std::cout << diff_tables(*present, table);
  return ExitStatus::kDone;
}

ExitStatus Command::table_apply() {
  control::PolicyTable table;
  if (!read_table(table)) {
    return ExitStatus::kBadInput;
  }
  return change("table", control::to_json(control::ChangeItem(table))["table"]);
}

/// A command's words, its number of further arguments, and what it does.
struct CommandEntry {
  const char* words;
  const char* arguments;
  size_t argument_count;
  const char* help;
  std::function<ExitStatus(Command&)> run;
  bool more_arguments = false;  ///< argument_count is the least number
};

const std::vector<CommandEntry>& all_commands() {
  static const std::vector<CommandEntry> commands{
      {"status", "", 0, "control members and live nodes", &Command::status},
      {"log", "", 0, "who changed what, and when", &Command::show_history},
      {"node list", "", 0, "live nodes and the version in force on each", &Command::show_nodes},
      {"member list", "", 0, "control members", &Command::show_members},
      {"member replace", "NAME", 1, "take the blank member of that name in (--wait: until it votes)",
       &Command::replace_member},
      {"tenant list", "", 0, "tenants", [](Command& command) { return command.list("tenants"); }},
      {"tenant add", "NAME", 1, "add or change a tenant (--api-key, --group)", &Command::add_tenant},
      {"tenant remove", "NAME", 1, "remove a tenant",
       [](Command& command) { return command.remove("tenant"); }},
      {"model list", "", 0, "models and their weights",
       [](Command& command) { return command.list("models"); }},
      {"model set", "NAME", 1, "add or change a model (--weights, --adapter)", &Command::set_model},
      {"model remove", "NAME", 1, "remove a model", [](Command& command) { return command.remove("model"); }},
      {"backend list", "", 0, "engines and plain back ends",
       [](Command& command) { return command.list("backends"); }},
      {"backend add", "NAME", 1, "add or change a back end (--kind, --serves, --endpoint, --zone)",
       &Command::add_backend},
      {"backend drain", "NAME", 1, "give it no new work",
       [](Command& command) { return command.set_draining(true); }},
      {"backend undrain", "NAME", 1, "give it work again",
       [](Command& command) { return command.set_draining(false); }},
      {"backend remove", "NAME", 1, "remove a back end",
       [](Command& command) { return command.remove("backend"); }},
      {"order list", "", 0, "the last order of each engine", &Command::show_orders},
      {"order load", "BACKEND VERSION", 2, "order an engine to load a weights version", &Command::order_load},
      {"table get", "", 0, "print the policy table as CSV", &Command::table_get},
      {"table check", "FILE", 1, "check a CSV file, without any connection", &Command::table_check},
      {"table diff", "FILE", 1, "show what a CSV file would change", &Command::table_diff},
      {"table apply", "FILE", 1, "put a CSV file in force (--wait: until every live node has it)",
       &Command::table_apply},
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
