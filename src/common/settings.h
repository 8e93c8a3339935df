/// Checked settings: a TOML file, flags laid over it, and findings with file, line, column and key.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "src/common/findings.h"

namespace stoat {

/// Reads typed values from one TOML table. Every value that is missing, of the wrong type or out of range
/// becomes a finding; reading goes on with the default, so that all findings come out together.
class SettingsReader {
 public:
  /// Parses `path` (may be empty: no file) and lays each "key=value" of `overrides` over it.
  static SettingsReader load(const std::string& path, const std::vector<std::string>& overrides,
                             Findings& findings);

  /// Text with a default.
  std::string text(const std::string& key, const std::string& fallback);
  /// Text that must be present and not empty.
  std::string required_text(const std::string& key);
  /// A whole number within [low, high].
  int64_t integer(const std::string& key, int64_t fallback, int64_t low, int64_t high);
  /// A real number within [low, high].
  double number(const std::string& key, double fallback, double low, double high);
  /// A truth value.
  bool flag(const std::string& key, bool fallback);
  /// A list of texts; empty when missing.
  std::vector<std::string> text_list(const std::string& key);
  /// Adds a finding for each key that no call above asked for.
  void report_unknown_keys();
  /// Adds a finding at the place of `key`.
  void add_finding(const std::string& key, const std::string& message);

  ~SettingsReader();
  SettingsReader(SettingsReader&&) noexcept;

 private:
  struct Content;
  explicit SettingsReader(std::unique_ptr<Content> content);
  std::unique_ptr<Content> content_;
};

/// An IP address and port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/// "127.0.0.1:8080"; IPv6 addresses stand in brackets.
std::string to_string(const Endpoint& endpoint);

/// Parses "address:port"; on failure returns false and leaves `endpoint` alone.
bool parse_endpoint(const std::string& text, Endpoint& endpoint);

/// Reads an endpoint setting; a malformed one becomes a finding.
Endpoint read_endpoint(SettingsReader& settings, const std::string& key, const std::string& fallback);

/// Reads a list of endpoints; malformed ones become findings.
std::vector<Endpoint> read_endpoints(SettingsReader& settings, const std::string& key);

/// Reads the list "seeds". Where "internal_port" is given, it replaces the port of each.
std::vector<Endpoint> read_seed_endpoints(SettingsReader& settings);

}  // namespace stoat
