/// Writes the answer to one caller: whole JSON, server-sent events, a plain service's answer, or an error.
#pragma once

#include <string>

#include "src/http/server.h"
#include "src/sidecar/caller_request.h"

namespace stoat::sidecar {

/// One caller's answer. Nothing is written before the first piece or the end, so that an early failure still
/// gets a proper HTTP status. A stream that fails ends with an error event and without its end mark.
class CallerAnswer {
 public:
  CallerAnswer(http::ExchangePtr exchange, AnswerForm form, bool stream, std::string model);

  void set_request_id(const std::string& request_id) { request_id_ = request_id; }
  void on_piece(const std::string& text);
  void on_end(const wire::RequestFinished& finished);
  const http::ExchangePtr& exchange() const { return exchange_; }

 private:
  std::string event(const std::string& text, bool last) const;
  void send_whole(const wire::RequestFinished& finished);
  void send_error(const wire::RequestFinished& finished);
  void begin_stream();

  http::ExchangePtr exchange_;
  AnswerForm form_;
  bool stream_;
  bool begun_ = false;
  std::string model_;
  std::string request_id_;
  std::string text_;
};

/// Replies with an error that the sidecar found itself; it has always run nothing.
void reply_caller_error(http::Exchange& exchange, const CallerError& error, int retry_after_s = 0);

}  // namespace stoat::sidecar
