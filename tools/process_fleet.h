/// Starts, stops, freezes and kills processes of a fleet on loopback. For the fleet runner and the process
/// tests.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/common/time.h"

namespace stoat::tools {

/// The processes of one fleet. All that still run are killed when it goes.
class ProcessFleet {
 public:
  /// Programs are taken from `bin_folder`; data folders and log files go under `work_folder`.
  ProcessFleet(std::string bin_folder, std::string work_folder);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  /// A loopback endpoint whose port was free just now and that this fleet has not given out before.
  Endpoint free_endpoint();
  /// Declares a process: a program and its "key=value" settings.
  void add(const std::string& name, const std::string& program, const std::vector<std::string>& settings);
  void start(const std::string& name);
  /// SIGTERM, then waits. Returns the exit status; -1 when it had to be killed after `limit`.
  int stop(const std::string& name, Duration limit = Duration(30s));
  /// SIGTERM without waiting; finish with wait_stopped().
  void ask_to_stop(const std::string& name);
  int wait_stopped(const std::string& name, Duration limit = Duration(30s));
  /// SIGKILL.
  void kill(const std::string& name);
  /// SIGSTOP and SIGCONT.
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  bool runs(const std::string& name);
  /// 0 when it does not run.
  pid_t pid_of(const std::string& name) const { return processes_.at(name).pid; }
  /// The log written by a process so far.
  std::string log_of(const std::string& name) const;
  std::string work_folder() const { return work_folder_; }
  /// A folder of this name under the work folder, made when needed.
  std::string folder(const std::string& name) const;
  std::vector<std::string> names() const;

 private:
  struct Process {
    std::string program;
    std::vector<std::string> settings;
    pid_t pid = 0;
  };
  void send_signal(const std::string& name, int signal_number);

  std::string bin_folder_;
  std::string work_folder_;
  std::map<std::string, Process> processes_;
  uint16_t next_port_;
};

/// Sleeps on the real clock.
void sleep_for(Duration span);

}  // namespace stoat::tools
