/// Validated settings from a TOML file and overriding flags. Errors are reported with file, line, column and
/// key.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "src/common/findings.h"

namespace stoat {

/// Reads typed values from settings. A value of the wrong type or out of range becomes a finding, and the
/// default is returned, so that all findings are reported together.
class SettingsReader {
 public:
  /// Parses the file at `path`, unless that is empty. Each "key=value" of `overrides` takes precedence over
  /// the file and over earlier overrides. Errors are added to `findings`, which must outlive the reader.
  static SettingsReader load(const std::string& path, const std::vector<std::string>& overrides,
                             Findings& findings);

  /// A string; `fallback` when the key is missing.
  std::string text(const std::string& key, const std::string& fallback);
  /// A string that must be present and not empty. Otherwise adds a finding and returns an empty string.
  std::string required_text(const std::string& key);
  /// An integer within [low, high]; `fallback` when the key is missing.
  int64_t integer(const std::string& key, int64_t fallback, int64_t low, int64_t high);
  /// A real number within [low, high]; `fallback` when the key is missing.
  double number(const std::string& key, double fallback, double low, double high);
  /// A boolean; `fallback` when the key is missing.
  bool flag(const std::string& key, bool fallback);
  /// A list of strings; empty when the key is missing.
  std::vector<std::string> text_list(const std::string& key);
  /// Adds a finding for each key in the settings that none of the calls above has requested.
  void report_unknown_keys();
  /// Adds a finding at the position of `key`.
  void add_finding(const std::string& key, const std::string& message);

  ~SettingsReader();
  SettingsReader(SettingsReader&&) noexcept;

 private:
  struct State;
  explicit SettingsReader(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

/// An IP address and port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/// Formats an endpoint as "127.0.0.1:8080"; IPv6 addresses are enclosed in brackets.
std::string to_string(const Endpoint& endpoint);

/// Parses "address:port". On failure, returns false and leaves `endpoint` unchanged.
bool parse_endpoint(const std::string& text, Endpoint& endpoint);

/// Reads an endpoint setting; a malformed one becomes a finding.
Endpoint read_endpoint(SettingsReader& settings, const std::string& key, const std::string& fallback);

/// Reads a list of endpoints; malformed ones become findings.
std::vector<Endpoint> read_endpoints(SettingsReader& settings, const std::string& key);

/// Reads the list of endpoints "seeds". If "internal_port" is set, it replaces the port of each.
std::vector<Endpoint> read_seed_endpoints(SettingsReader& settings);

}  // namespace stoat
