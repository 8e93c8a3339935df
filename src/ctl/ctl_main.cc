/// stoatctl: what operators do from a command line.
#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "src/common/command_line.h"
#include "src/ctl/commands.h"

namespace {

using stoat::ctl::CtlOptions;

std::string text_or(const char* value, const std::string& fallback) {
  return value == nullptr ? fallback : value;
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

bool read_members(const std::string& list, CtlOptions& options) {
  std::istringstream stream(list);
  for (std::string member; std::getline(stream, member, ',');) {
    stoat::Endpoint endpoint;
    if (!stoat::parse_endpoint(member, endpoint)) {
      std::cerr << "stoatctl: --control: '" << member << "' is not ADDRESS:PORT\n";
      return false;
    }
    options.members.push_back(endpoint);
  }
  return true;
}

}  // namespace

int main(int argc, const char** argv) {
  CtlOptions options;
  char* control = nullptr;
  char* key = nullptr;
  char* operator_name = nullptr;
  char* request_id = nullptr;
  char* api_key = nullptr;
  char* group = nullptr;
  char* kind = nullptr;
  char* serves = nullptr;
  char* endpoint = nullptr;
  char* zone = nullptr;
  char* weights = nullptr;
  char* adapter = nullptr;
  int json = 0;
  int wait = 0;
  int version = 0;
  long long base_version = -1;
  long long timeout_s = options.timeout_s;
  const poptOption table[] = {
      {"control", 'c', POPT_ARG_STRING, &control, 0, "administration addresses (or STOAT_CONTROL)",
       "ADDRESS:PORT,..."},
      {"key", 'k', POPT_ARG_STRING, &key, 0, "operator's key (or STOAT_OPERATOR_KEY)", "KEY"},
      {"operator", 'o', POPT_ARG_STRING, &operator_name, 0, "who makes the change (default: USER)", "NAME"},
      {"request-id", 'r', POPT_ARG_STRING, &request_id, 0, "to resend a change after a lost answer", "ID"},
      {"base-version", 'b', POPT_ARG_LONGLONG, &base_version, 0, "version that the change is based on",
       "VERSION"},
      {"api-key", 0, POPT_ARG_STRING, &api_key, 0, "API key of a tenant", "KEY"},
      {"group", 0, POPT_ARG_STRING, &group, 0, "tenants of one group share cached prefixes", "GROUP"},
      {"kind", 0, POPT_ARG_STRING, &kind, 0, "engine, plain or kv_store", "KIND"},
      {"serves", 0, POPT_ARG_STRING, &serves, 0, "model or service name", "NAME"},
      {"endpoint", 0, POPT_ARG_STRING, &endpoint, 0, "of a back end", "ADDRESS:PORT"},
      {"zone", 0, POPT_ARG_STRING, &zone, 0, "of a back end", "REGION/ZONE"},
      {"weights", 0, POPT_ARG_STRING, &weights, 0, "weights version of a model", "VERSION"},
      {"adapter", 0, POPT_ARG_STRING, &adapter, 0, "adapter of a model", "ADAPTER"},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
      {"wait", 'w', POPT_ARG_NONE, &wait, 0, "return when it is in force, or name what lacks it", nullptr},
      {"timeout", 't', POPT_ARG_LONGLONG, &timeout_s, 0, "for finding a leader and for --wait", "SECONDS"},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and stop", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("stoatctl", argc, argv, table, 0);
  const std::string help = "[OPTION...] COMMAND\n\nCommands:\n" + stoat::ctl::command_help();
  poptSetOtherOptionHelp(context, help.c_str());
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << "stoatctl: " << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(result) << "\nTry 'stoatctl --help'.\n";
    return stoat::kExitBadInput;
  }
  if (version != 0) {
    std::cout << "stoatctl " << STOAT_VERSION << "\n";
    return 0;
  }
  while (const char* argument = poptGetArg(context)) {
    options.arguments.emplace_back(argument);
  }
  options.operator_key = text_or(key, environment("STOAT_OPERATOR_KEY"));
  options.operator_name = text_or(operator_name, environment("USER"));
  if (options.operator_name.empty()) {
    options.operator_name = "operator";
  }
  options.request_id = text_or(request_id, "");
  options.base_version = base_version;
  options.api_key = text_or(api_key, "");
  options.sharing_group = text_or(group, "");
  options.kind = text_or(kind, options.kind);
  options.serves = text_or(serves, "");
  options.endpoint = text_or(endpoint, "");
  options.zone = text_or(zone, "");
  options.weights_version = text_or(weights, "");
  options.adapter = text_or(adapter, "");
  options.json = json != 0;
  options.wait = wait != 0;
  options.timeout_s = timeout_s;
  std::string members = text_or(control, environment("STOAT_CONTROL"));
  if (!read_members(members.empty() ? "127.0.0.1:7001" : members, options)) {
    return stoat::kExitBadInput;
  }
  const auto status = stoat::ctl::run_command(options);
  poptFreeContext(context);
  return static_cast<int>(status);
}
