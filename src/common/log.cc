#include "src/common/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace stoat {

std::string Logger::format(std::string_view sentence, std::initializer_list<LogField> fields) const {
  std::string line = "[" + part_ + "] " + std::string(sentence);
  for (const LogField& field : fields) {
    const bool quote = field.value.empty() || field.value.find(' ') != std::string::npos;
    line += " " + field.key + "=" + (quote ? "\"" + field.value + "\"" : field.value);
  }
  return line;
}

void Logger::debug(std::string_view sentence, std::initializer_list<LogField> fields) const {
  if (el::Loggers::getLogger("default")->enabled(el::Level::Debug)) {
    LOG(DEBUG) << format(sentence, fields);
  }
}

void Logger::info(std::string_view sentence, std::initializer_list<LogField> fields) const {
  LOG(INFO) << format(sentence, fields);
}

void Logger::warning(std::string_view sentence, std::initializer_list<LogField> fields) const {
  LOG(WARNING) << format(sentence, fields);
}

void Logger::error(std::string_view sentence, std::initializer_list<LogField> fields) const {
  LOG(ERROR) << format(sentence, fields);
}

void configure_logging(const std::string& level) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  const bool debug_on = level == "debug";
  const bool info_on = debug_on || (level != "warning" && level != "error");
  const bool warning_on = level != "error";
  configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, debug_on ? "true" : "false");
  configuration.set(el::Level::Info, el::ConfigurationType::Enabled, info_on ? "true" : "false");
  configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, warning_on ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(configuration);
}

}  // namespace stoat
