#include "src/common/log.h"

#include <easylogging++.h>

#include "src/common/log_writer.h"

INITIALIZE_EASYLOGGINGPP

namespace stoat {

namespace {

/// Passes each line of easylogging++ to the log writer, which never blocks.
class LogWriterCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    standard_log_writer().write(data->logMessage()->message());
  }
};

}  // namespace

std::string Logger::format(LogLevel level, std::string_view log_message,
                           std::initializer_list<LogField> fields) const {
  return to_text(LogLine{log_now(), level, component_, std::string(log_message), fields});
}

void Logger::debug(std::string_view log_message, std::initializer_list<LogField> fields) const {
  if (el::Loggers::getLogger("default")->enabled(el::Level::Debug)) {
    LOG(DEBUG) << format(LogLevel::kDebug, log_message, fields);
  }
}

void Logger::info(std::string_view log_message, std::initializer_list<LogField> fields) const {
  LOG(INFO) << format(LogLevel::kInfo, log_message, fields);
}

void Logger::warning(std::string_view log_message, std::initializer_list<LogField> fields) const {
  LOG(WARNING) << format(LogLevel::kWarning, log_message, fields);
}

void Logger::error(std::string_view log_message, std::initializer_list<LogField> fields) const {
  LOG(ERROR) << format(LogLevel::kError, log_message, fields);
}

void Logger::write(LogTime time, std::string_view log_message, std::vector<LogField> fields) const {
  LOG(INFO) << to_text(
      LogLine{time, LogLevel::kInfo, component_, std::string(log_message), std::move(fields)});
}

void configure_logging(const std::string& level) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  const bool debug_enabled = level == "debug";
  const bool info_enabled = debug_enabled || (level != "warning" && level != "error");
  const bool warning_enabled = level != "error";
  configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, debug_enabled ? "true" : "false");
  configuration.set(el::Level::Info, el::ConfigurationType::Enabled, info_enabled ? "true" : "false");
  configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, warning_enabled ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<LogWriterCallback>("stoat writer");
}

void flush_logs() { standard_log_writer().flush(); }

}  // namespace stoat
