/// Reads callers' HTTP bodies: completions, chat completions and plain services.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "src/control/configuration.h"
#include "src/http/server.h"
#include "src/sidecar/sidecar_core.h"

namespace stoat::sidecar {

/// Which form the answer takes.
enum class AnswerForm : uint8_t { kCompletion, kChat, kPlain };

/// What is wrong with a caller's request. The codes are listed in docs/API.md.
struct CallerError {
  int http_status = 400;
  std::string code;
  std::string message;
};

/// A caller's request with the form in which its answer is wanted.
struct ParsedCall {
  CallerRequest request;
  AnswerForm form = AnswerForm::kCompletion;
  bool stream = false;
};

/// Checks and reads a request of the given form under the configuration in force.
tl::expected<ParsedCall, CallerError> parse_call(const http::Exchange& exchange, AnswerForm form,
                                                 const control::Configuration& configuration);

}  // namespace stoat::sidecar
