#include "src/http/blocking.h"

namespace stoat::http {

ClientResult fetch(const ClientRequest& request) {
  EventLoop loop;
  ClientResult final_result;
  {
    Client client(loop);
    client.start(request, nullptr, [&](const ClientResult& result) {
      final_result = result;
      loop.stop();
    });
    loop.run();
  }
  return final_result;
}

}  // namespace stoat::http
