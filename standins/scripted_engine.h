/// A backend whose responses a test scripts byte by byte, so that they can be late, malformed, duplicated,
/// unframed or missing.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace stoat::standins {

/// A request as received.
struct ReceivedRequest {
  std::string head;  ///< request line and headers, each with its CR LF, without the empty line
  std::string body;
  size_t connection = 0;  ///< number of the connection it came on, from 1
  /// The value of a header, whose name is matched without regard to case; empty if it is absent.
  std::string header(const std::string& name) const;
};

/// One step of the script by which the engine handles a request.
struct ScriptStep {
  enum class Kind {
    kSend,
    kRepeat,  ///< sends the bytes again and again until the client closes the connection
    kWait,
    kClose,
    kReset,  ///< closes the connection with a TCP reset
    kCrash   ///< stops the whole engine: it no longer listens, and all connections are closed
  };
  Kind kind = Kind::kSend;
  std::string bytes;                  ///< for kSend and kRepeat
  std::chrono::milliseconds wait{0};  ///< for kWait
};

using Script = std::vector<ScriptStep>;

inline ScriptStep send_step(std::string bytes) { return {ScriptStep::Kind::kSend, std::move(bytes), {}}; }
inline ScriptStep repeat_step(std::string bytes) { return {ScriptStep::Kind::kRepeat, std::move(bytes), {}}; }
inline ScriptStep wait_step(std::chrono::milliseconds wait) { return {ScriptStep::Kind::kWait, "", wait}; }
inline ScriptStep close_step() { return {ScriptStep::Kind::kClose, "", {}}; }
inline ScriptStep crash_step() { return {ScriptStep::Kind::kCrash, "", {}}; }
inline ScriptStep reset_step() { return {ScriptStep::Kind::kReset, "", {}}; }

/// A complete HTTP response with a Content-Length header. Each line in `headers` must end in CR LF.
std::string full_response(int status, const std::string& headers, const std::string& body);

/// How much of a request an engine reads before it handles the request.
enum class ReadBeforeScript : uint8_t {
  kWholeRequest,
  kHead,  ///< and nothing of the body after that: most of a long one stays in the client's socket
};

/// Listens on a free loopback port and serves each connection in a thread of its own. The handler returns the
/// script for each request. Throws std::runtime_error if it cannot listen.
class ScriptedEngine {
 public:
  using Handler = std::function<Script(const ReceivedRequest&)>;
  explicit ScriptedEngine(Handler handler, ReadBeforeScript reads = ReadBeforeScript::kWholeRequest);
  ~ScriptedEngine();
  ScriptedEngine(const ScriptedEngine&) = delete;
  ScriptedEngine& operator=(const ScriptedEngine&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::vector<ReceivedRequest> requests() const;
  /// Stops listening and closes all connections.
  void crash();
  /// Whether crash() was called or a script reached kCrash.
  bool crashed() const { return crashed_; }
  /// Number of connections closed by the client.
  size_t closed_by_peer() const { return closed_by_peer_; }
  /// Number of bytes sent by kRepeat steps.
  size_t repeated_bytes() const { return repeated_bytes_; }

 private:
  void accept_connections();
  void serve(int socket, size_t connection);
  bool run_script(int socket, const Script& script);
  void repeat(int socket, const std::string& bytes);

  Handler handler_;
  ReadBeforeScript reads_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> crashed_{false};
  std::atomic<size_t> closed_by_peer_{0};
  std::atomic<size_t> repeated_bytes_{0};
  mutable std::mutex mutex_;
  std::vector<ReceivedRequest> requests_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace stoat::standins
