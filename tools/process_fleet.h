/// Starts, stops, pauses and kills the processes of a fleet on loopback. Used by stoat-chaos and the process
/// tests.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/common/time.h"
#include "tools/port_blocks.h"

namespace stoat::tools {

/// The processes of one fleet, by name. The destructor kills those that are still running. start() and the
/// functions that signal, await or inspect a process throw std::out_of_range if its name was not added.
class ProcessFleet {
 public:
  /// Programs are executed from `bin_folder`; data folders and log files are created in `work_folder`.
  ProcessFleet(std::string bin_folder, std::string work_folder);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  /// Returns a loopback endpoint whose port is free, was not returned before, and belongs to this fleet.
  /// Throws std::runtime_error if there is none.
  Endpoint free_endpoint();
  /// Adds a process, given by its program and its "key=value" settings, without starting it.
  void add(const std::string& name, const std::string& program, const std::vector<std::string>& settings);
  /// Adds settings that only programs of the fleet's own folder know.
  void add_own_settings(const std::string& name, const std::vector<std::string>& settings);
  /// Executes the program of a process from another folder from its next start on.
  void set_bin_folder(const std::string& name, const std::string& bin_folder);
  /// Starts a process. Its output is appended to the log file NAME.log.
  void start(const std::string& name);
  /// Sends SIGTERM and waits. Returns the exit status, 128 + N if signal N ended the process, or -1 if it had
  /// to be killed after `limit`.
  int stop(const std::string& name, Duration limit = Duration(30s));
  /// Sends SIGTERM without waiting; wait_stopped() waits.
  void request_stop(const std::string& name);
  /// Waits for the process to exit; returns the same as stop().
  int wait_stopped(const std::string& name, Duration limit = Duration(30s));
  /// Sends SIGKILL and waits for the process to exit.
  void kill(const std::string& name);
  /// Sends SIGSTOP.
  void pause(const std::string& name);
  /// Sends SIGCONT.
  void resume(const std::string& name);
  bool is_running(const std::string& name);
  /// The process id; 0 if it is not running.
  pid_t pid_of(const std::string& name) const { return processes_.at(name).pid; }
  /// The output of the process so far.
  std::string log_of(const std::string& name) const;
  std::string work_folder() const { return work_folder_; }
  /// Creates a folder of this name in the work folder if necessary, and returns its path.
  std::string make_folder(const std::string& name) const;
  std::vector<std::string> names() const;

 private:
  struct Process {
    std::string program;
    std::string bin_folder;
    std::vector<std::string> settings;
    std::vector<std::string> own_settings;  ///< only for programs of the fleet's own folder
    pid_t pid = 0;
  };
  void send_signal(const std::string& name, int signal_number);

  std::string bin_folder_;
  std::string work_folder_;
  std::map<std::string, Process> processes_;
  PortBlocks ports_;
};

/// Blocks the calling thread for `span` of real time.
void sleep_for(Duration span);

}  // namespace stoat::tools
