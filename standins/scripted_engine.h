/// A back end whose answers a test writes byte for byte: late, broken, doubled, unframed or none.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace stoat::standins {

/// A request as it came in.
struct SeenRequest {
  std::string head;  ///< up to the empty line
  std::string body;
  size_t connection = 0;  ///< counts the connections of the engine from 1
  /// A header's value, or an empty string.
  std::string header(const std::string& name) const;
};

/// What the engine does with a request, in order.
struct ScriptStep {
  enum class Kind {
    kSend,
    kWait,
    kClose,
    kReset,
    kCrash  ///< the whole engine ends: nothing listens any more, and all connections break off
  };
  Kind kind = Kind::kSend;
  std::string bytes;
  std::chrono::milliseconds wait{0};
};

using Script = std::vector<ScriptStep>;

inline ScriptStep send_step(std::string bytes) { return {ScriptStep::Kind::kSend, std::move(bytes), {}}; }
inline ScriptStep wait_step(std::chrono::milliseconds wait) { return {ScriptStep::Kind::kWait, "", wait}; }
inline ScriptStep close_step() { return {ScriptStep::Kind::kClose, "", {}}; }
inline ScriptStep crash_step() { return {ScriptStep::Kind::kCrash, "", {}}; }
inline ScriptStep reset_step() { return {ScriptStep::Kind::kReset, "", {}}; }

/// A whole answer with a length. `headers` are lines that end in CR LF.
std::string whole_answer(int status, const std::string& headers, const std::string& body);

/// Listens on a free port of the loopback address; one thread a connection.
class ScriptedEngine {
 public:
  using Handler = std::function<Script(const SeenRequest&)>;
  explicit ScriptedEngine(Handler handler);
  ~ScriptedEngine();
  ScriptedEngine(const ScriptedEngine&) = delete;
  ScriptedEngine& operator=(const ScriptedEngine&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::vector<SeenRequest> requests() const;
  /// Ends as a whole: nothing listens any more, and all connections break off.
  void crash();
  /// True once it has crashed.
  bool crashed() const { return crashed_; }
  /// Connections that the other side has closed.
  size_t closed_by_peer() const { return closed_by_peer_; }

 private:
  void accept_connections();
  void serve(int socket, size_t connection);
  bool run_script(int socket, const Script& script);

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> crashed_{false};
  std::atomic<size_t> closed_by_peer_{0};
  mutable std::mutex mutex_;
  std::vector<SeenRequest> requests_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace stoat::standins
