#include "src/http/blocking.h"

namespace stoat::http {

ClientResult fetch(const ClientRequest& request) {
  EventLoop loop;
  ClientResult kept;
  {
    Client client(loop);
    client.start(request, nullptr, [&](const ClientResult& result) {
      kept = result;
      loop.stop();
    });
    loop.run();
  }
  return kept;
}

}  // namespace stoat::http
