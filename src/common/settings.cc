#include "src/common/settings.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "src/common/toml_text.h"

namespace stoat {

struct SettingsReader::State {
  std::string file;
  toml::table root;
  std::vector<toml::table> overrides;
  std::set<std::string> requested_keys;
  Findings* findings = nullptr;

  /// Finds the node of a dotted key. Overrides are searched first, the last one given before earlier ones.
  const toml::node* find(const std::string& key, std::string& source_name) {
    requested_keys.insert(key);
    for (auto table = overrides.rbegin(); table != overrides.rend(); ++table) {
      if (const toml::node* node = table->at_path(key).node()) {
        source_name = "--set";
        return node;
      }
    }
    source_name = file;
    return root.at_path(key).node();
  }

  /// Adds a finding at the position of `node`, which may be nullptr.
  void add_at(const toml::node* node, const std::string& source_name, const std::string& key,
              std::string message) {
    Finding finding{source_name.empty() ? "settings" : source_name, 0, 0, key, std::move(message)};
    if (node != nullptr) {
      finding.line = static_cast<int>(node->source().begin.line);
      finding.column = static_cast<int>(node->source().begin.column);
    }
    findings->add(std::move(finding));
  }

  void report_unknown(const toml::table& table, const std::string& prefix, const std::string& source_name) {
    for (const auto& [name, node] : table) {
      const std::string key = prefix + std::string(name.str());
      if (requested_keys.count(key) > 0) {
        continue;
      }
      if (const toml::table* subtable = node.as_table()) {
        report_unknown(*subtable, key + ".", source_name);
      } else {
        add_at(&node, source_name, key, "unknown key");
      }
    }
  }
};

SettingsReader::SettingsReader(std::unique_ptr<State> state) : state_(std::move(state)) {}
SettingsReader::~SettingsReader() = default;
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;

SettingsReader SettingsReader::load(const std::string& path, const std::vector<std::string>& overrides,
                                    Findings& findings) {
  auto state = std::make_unique<State>();
  state->file = path;
  state->findings = &findings;
  const auto report = [&findings](const std::string& source_name, const toml::parse_error& error) {
    const auto& begin = error.source().begin;
    findings.add({source_name, static_cast<int>(begin.line), static_cast<int>(begin.column), "",
                  std::string(error.description())});
  };
  const auto parse = [&](const std::string& source_name, const std::string& text) {
    if (const auto finding = check_toml_text(text)) {
      findings.add({source_name, finding->line, finding->column, "", finding->message});
      return toml::table();
    }
    try {
      return toml::parse(text, source_name);
    } catch (const toml::parse_error& error) {
      report(source_name, error);
      return toml::table();
    }
  };
  if (!path.empty()) {
    std::ifstream file(path);
    if (!file) {
      findings.add({path, 0, 0, "", "the file can't be read"});
    } else {
      std::ostringstream text;
      text << file.rdbuf();
      state->root = parse(path, text.str());
    }
  }
  for (const std::string& assignment : overrides) {
    state->overrides.push_back(parse("--set " + assignment, assignment));
  }
  return SettingsReader(std::move(state));
}

std::string SettingsReader::text(const std::string& key, const std::string& fallback) {
  std::string source_name;
  const toml::node* node = state_->find(key, source_name);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_string()) {
    state_->add_at(node, source_name, key, "must be a quoted string");
    return fallback;
  }
  return node->value_or(fallback);
}

std::string SettingsReader::required_text(const std::string& key) {
  std::string value = text(key, "");
  if (value.empty()) {
    add_finding(key, "must be set");
  }
  return value;
}

int64_t SettingsReader::integer(const std::string& key, int64_t fallback, int64_t low, int64_t high) {
  std::string source_name;
  const toml::node* node = state_->find(key, source_name);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value_exact<int64_t>();
  if (!value.has_value() || *value < low || *value > high) {
    state_->add_at(node, source_name, key,
                   "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    return fallback;
  }
  return *value;
}

double SettingsReader::number(const std::string& key, double fallback, double low, double high) {
  std::string source_name;
  const toml::node* node = state_->find(key, source_name);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value<double>();
  if (!node->is_number() || *value < low || *value > high) {
    state_->add_at(node, source_name, key,
                   "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return fallback;
  }
  return *value;
}

bool SettingsReader::flag(const std::string& key, bool fallback) {
  std::string source_name;
  const toml::node* node = state_->find(key, source_name);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    state_->add_at(node, source_name, key, "must be true or false");
    return fallback;
  }
  return node->value_or(fallback);
}

std::vector<std::string> SettingsReader::text_list(const std::string& key) {
  std::vector<std::string> values;
  std::string source_name;
  const toml::node* node = state_->find(key, source_name);
  if (node == nullptr) {
    return values;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    state_->add_at(node, source_name, key, "must be a list of strings");
    return values;
  }
  for (const toml::node& element : *array) {
    if (!element.is_string()) {
      state_->add_at(&element, source_name, key, "must be a quoted string");
      continue;
    }
    values.push_back(element.value_or(std::string()));
  }
  return values;
}

void SettingsReader::report_unknown_keys() {
  state_->report_unknown(state_->root, "", state_->file);
  for (const toml::table& table : state_->overrides) {
    state_->report_unknown(table, "", "--set");
  }
}

void SettingsReader::add_finding(const std::string& key, const std::string& message) {
  std::string source_name;
  const toml::node* node = state_->find(key, source_name);
  state_->add_at(node, source_name, key, message);
}

std::string to_string(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + endpoint.address + "]" : endpoint.address;
  return host + ":" + std::to_string(endpoint.port);
}

bool parse_endpoint(const std::string& text, Endpoint& endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  in6_addr buffer{};
  const bool is_address =
      inet_pton(AF_INET, host.c_str(), &buffer) == 1 || inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
  uint16_t port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(first, last, port);
  if (!is_address || first == last || result.ec != std::errc() || result.ptr != last) {
    return false;
  }
  endpoint = Endpoint{host, port};
  return true;
}

Endpoint read_endpoint(SettingsReader& settings, const std::string& key, const std::string& fallback) {
  Endpoint endpoint;
  const std::string value = settings.text(key, fallback);
  if (!parse_endpoint(value, endpoint)) {
    settings.add_finding(key, "must be an IP address and a port, such as 127.0.0.1:8080");
  }
  return endpoint;
}

std::vector<Endpoint> read_endpoints(SettingsReader& settings, const std::string& key) {
  std::vector<Endpoint> endpoints;
  for (const std::string& value : settings.text_list(key)) {
    Endpoint endpoint;
    if (parse_endpoint(value, endpoint)) {
      endpoints.push_back(endpoint);
    } else {
      settings.add_finding(key, "'" + value + "' is not an IP address and a port");
    }
  }
  return endpoints;
}

std::vector<Endpoint> read_seed_endpoints(SettingsReader& settings) {
  constexpr int64_t kMaxPort = 65535;
  std::vector<Endpoint> seeds = read_endpoints(settings, "seeds");
  const int64_t port = settings.integer("internal_port", 0, 0, kMaxPort);
  for (Endpoint& seed : seeds) {
    seed.port = port == 0 ? seed.port : static_cast<uint16_t>(port);
  }
  return seeds;
}

}  // namespace stoat
