#include "standins/scripted_engine.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <stdexcept>

namespace stoat::standins {

namespace {

constexpr int kBacklog = 64;
constexpr int kPollIntervalMs = 20;
constexpr size_t kReadBytes = 65536;
/// Receive buffer of an engine that leaves bodies unread.
constexpr int kSmallReceiveBufferBytes = 16384;

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

bool send_all(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

std::string ReceivedRequest::header(const std::string& name) const {
  const std::string lower_head = lower_case(head);
  const std::string key = "\r\n" + lower_case(name) + ":";
  const size_t start = lower_head.find(key);
  if (start == std::string::npos) {
    return "";
  }
  size_t begin = start + key.size();
  while (begin < head.size() && head[begin] == ' ') {
    ++begin;
  }
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string full_response(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedEngine::ScriptedEngine(Handler handler, ReadBeforeScript reads)
    : handler_(std::move(handler)), reads_(reads) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  if (reads_ == ReadBeforeScript::kHead) {
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBufferBytes, sizeof(int));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      ::listen(listener_, kBacklog) != 0 ||
      ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    throw std::runtime_error("the scripted engine cannot listen on a loopback port");
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { accept_connections(); });
}

ScriptedEngine::~ScriptedEngine() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  ::close(listener_);
}

void ScriptedEngine::crash() {
  ::shutdown(listener_, SHUT_RDWR);
  crashed_ = true;
  stopping_ = true;
}

std::vector<ReceivedRequest> ScriptedEngine::requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

void ScriptedEngine::accept_connections() {
  size_t connections = 0;
  while (!stopping_) {
    pollfd readable{listener_, POLLIN, 0};
    if (::poll(&readable, 1, kPollIntervalMs) <= 0) {
      continue;
    }
    const int socket = ::accept(listener_, nullptr, nullptr);
    if (socket >= 0) {
      const size_t connection = ++connections;
      threads_.emplace_back([this, socket, connection] { serve(socket, connection); });
    }
  }
}

void ScriptedEngine::serve(int socket, size_t connection) {
  std::string input;
  bool open = true;
  while (open && !stopping_) {
    pollfd readable{socket, POLLIN, 0};
    if (::poll(&readable, 1, kPollIntervalMs) <= 0) {
      continue;
    }
    char bytes[kReadBytes];
    const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      ++closed_by_peer_;
      break;
    }
    input.append(bytes, static_cast<size_t>(count));
    for (size_t end = input.find("\r\n\r\n"); open && end != std::string::npos;
         end = input.find("\r\n\r\n")) {
      ReceivedRequest request;
      request.head = input.substr(0, end + 2);
      request.connection = connection;
      const std::string length_text = request.header("Content-Length");
      const bool reads_body = reads_ == ReadBeforeScript::kWholeRequest && !length_text.empty();
      const size_t length = reads_body ? std::stoul(length_text) : 0;
      if (input.size() < end + 4 + length) {
        break;
      }
      request.body = input.substr(end + 4, length);
      input.erase(0, end + 4 + length);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        requests_.push_back(request);
      }
      open = run_script(socket, handler_(request));
    }
  }
  ::close(socket);
}

void ScriptedEngine::repeat(int socket, const std::string& bytes) {
  while (!stopping_) {
    pollfd writable{socket, POLLOUT, 0};
    if (::poll(&writable, 1, kPollIntervalMs) <= 0) {
      continue;
    }
    const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) {
      ++closed_by_peer_;
      return;
    }
    repeated_bytes_ += static_cast<size_t>(std::max<ssize_t>(count, 0));
  }
}

bool ScriptedEngine::run_script(int socket, const Script& script) {
  for (const ScriptStep& step : script) {
    switch (step.kind) {
      case ScriptStep::Kind::kSend:
        if (!send_all(socket, step.bytes)) {
          ++closed_by_peer_;
          return false;
        }
        break;
      case ScriptStep::Kind::kRepeat:
        repeat(socket, step.bytes);
        return false;
      case ScriptStep::Kind::kWait: {
        const auto until = std::chrono::steady_clock::now() + step.wait;
        while (!stopping_ && std::chrono::steady_clock::now() < until) {
          pollfd hung_up{socket, POLLRDHUP, 0};
          if (::poll(&hung_up, 1, kPollIntervalMs) > 0) {
            ++closed_by_peer_;
            return false;
          }
        }
        break;
      }
      case ScriptStep::Kind::kReset: {
        const linger reset_on_close{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        return false;
      }
      case ScriptStep::Kind::kCrash:
        crash();
        return false;
      case ScriptStep::Kind::kClose:
        return false;
    }
  }
  return true;
}

}  // namespace stoat::standins
