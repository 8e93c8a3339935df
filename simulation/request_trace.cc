#include "simulation/request_trace.h"

#include <sstream>

#include "src/wire/failure_reason.h"

namespace stoat::simulation {

namespace {

const char* call_kind_name(router::CallKind kind) {
  switch (kind) {
    case router::CallKind::kComplete:
      return "complete";
    case router::CallKind::kResume:
      return "resume";
    case router::CallKind::kPlain:
      return "plain";
  }
  return "unknown";
}

const char* call_end_name(router::CallEnd end) {
  switch (end) {
    case router::CallEnd::kComplete:
      return "complete";
    case router::CallEnd::kNotSent:
      return "not sent";
    case router::CallEnd::kRefused:
      return "refused";
    case router::CallEnd::kUnknownStream:
      return "unknown stream";
    case router::CallEnd::kBroken:
      return "broken";
    case router::CallEnd::kRejected:
      return "rejected";
  }
  return "unknown";
}

/// The text for a message about a request, and its id; 0 for other messages.
struct Described {
  uint64_t request_id = 0;
  std::string text;
};

Described describe(const wire::Message& message) {
  Described described;
  std::ostringstream text;
  if (const auto* submit = std::get_if<wire::SubmitRequest>(&message.value)) {
    described.request_id = submit->request_id;
    text << "submit attempt=" << submit->attempt << " repeatable=" << submit->repeatable
         << " next_index=" << submit->next_index << " may_have_run=" << submit->may_have_run
         << " resume=" << (submit->resume.empty() ? "" : submit->resume.front().engine)
         << " key=" << submit->idempotency_key;
  } else if (const auto* cancel = std::get_if<wire::CancelRequest>(&message.value)) {
    described.request_id = cancel->request_id;
    text << "cancel";
  } else if (const auto* piece = std::get_if<wire::StreamPiece>(&message.value)) {
    described.request_id = piece->request_id;
    text << "piece attempt=" << piece->attempt << " index=" << piece->index;
  } else if (const auto* dispatched = std::get_if<wire::RequestDispatched>(&message.value)) {
    described.request_id = dispatched->request_id;
    text << "dispatched attempt=" << dispatched->attempt << " engine=" << dispatched->where.engine
         << " incarnation=" << std::hex << dispatched->where.incarnation
         << " claim=" << dispatched->where.claim_id;
  } else if (const auto* finished = std::get_if<wire::RequestFinished>(&message.value)) {
    described.request_id = finished->request_id;
    text << "finished attempt=" << finished->attempt << " outcome=" << wire::outcome_name(finished->outcome)
         << " reason=" << wire::reason_code(finished->reason) << " pieces=" << finished->piece_count
         << " message=" << finished->message;
  }
  described.text = text.str();
  return described;
}

}  // namespace

void RequestTrace::line(TimePoint now, const std::string& text) {
  output_ << now.count() << " us: " << text << "\n";
}

void RequestTrace::message(TimePoint now, const std::string& from, const std::string& to,
                           const wire::Message& message) {
  if (request_id_ == 0) {
    return;
  }
  const Described described = describe(message);
  if (described.request_id != request_id_) {
    return;
  }
  if (const auto* submit = std::get_if<wire::SubmitRequest>(&message.value)) {
    key_ = submit->idempotency_key;
  }
  std::string text = from;
  text += " -> " + to;
  text += ": " + described.text;
  line(now, text);
}

void RequestTrace::call(TimePoint now, const std::string& router, const router::StartCall& call) {
  if (request_id_ == 0 || call.request_id != request_id_) {
    return;
  }
  std::ostringstream text;
  text << router << " -> " << call.backend << ": " << call_kind_name(call.kind) << " call=" << call.call_id
       << " engine_attempt=" << call.engine_attempt << " first_index=" << call.first_index
       << " incarnation=" << std::hex << call.expected_incarnation;
  line(now, text.str());
}

void RequestTrace::call_end(TimePoint now, const std::string& router, uint64_t request_id,
                            const router::CallResult& result) {
  if (request_id_ != 0 && request_id == request_id_) {
    line(now,
         std::string("call of ") + router + " ends: " + call_end_name(result.end) + " " + result.refusal);
  }
}

void RequestTrace::command(TimePoint now, const std::string& router, const control::Command& command,
                           const control::CommandResult& result) {
  if (request_id_ == 0 || key_.empty()) {
    return;
  }
  std::ostringstream text;
  if (const auto* claim = std::get_if<control::ClaimKey>(&command.value);
      claim != nullptr && claim->key == key_) {
    text << router << " claims " << std::hex << claim->claim_id;
  } else if (const auto* finish = std::get_if<control::FinishClaim>(&command.value);
             finish != nullptr && finish->key == key_) {
    text << router << " ends claim " << std::hex << finish->claim_id
         << " state=" << static_cast<int>(finish->state);
  } else {
    return;
  }
  text << std::dec << " result=" << static_cast<int>(result.code)
       << " held_state=" << static_cast<int>(result.claim_state);
  line(now, text.str());
}

void RequestTrace::fault(TimePoint now, const std::string& what) {
  if (request_id_ != 0) {
    line(now, what);
  }
}

}  // namespace stoat::simulation
