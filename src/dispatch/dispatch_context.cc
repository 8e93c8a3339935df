#include "src/dispatch/dispatch_context.h"

#include <algorithm>

namespace stoat::dispatch {

bool DispatchContext::serves_brittle(const std::string& service) const {
  const std::vector<std::string> ids = brittle.ids();
  return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    const BackendPtr backend = pool.find(id);
    return backend != nullptr && backend->record.service == service;
  });
}

void note_survival(DispatchContext& context, Backend& backend, TimePoint sent_at) {
  backend.last_answered_send_at = std::max(backend.last_answered_send_at, sent_at);
  std::vector<BrokenExchange>& broken = backend.broken_exchanges;
  const auto first_earlier =
      std::partition(broken.begin(), broken.end(),
                     [sent_at](const BrokenExchange& exchange) { return exchange.at >= sent_at; });
  for (auto exchange = first_earlier; exchange != broken.end(); ++exchange) {
    context.crashes.note_survival(exchange->request, backend.record.id, context.loop.now());
  }
  broken.erase(first_earlier, broken.end());
}

}  // namespace stoat::dispatch
