#include "tools/process_fleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace stoat::tools {

namespace {

constexpr Duration kPollInterval = 10ms;

}  // namespace

void sleep_for(Duration span) { std::this_thread::sleep_for(span); }

ProcessFleet::ProcessFleet(std::string bin_folder, std::string work_folder)
    : bin_folder_(std::move(bin_folder)),
      work_folder_(std::move(work_folder)),
      ports_(kFleetPorts, getpid()) {
  std::filesystem::create_directories(work_folder_);
}

ProcessFleet::~ProcessFleet() {
  for (auto& [name, process] : processes_) {
    kill(name);
  }
}

Endpoint ProcessFleet::free_endpoint() { return {"127.0.0.1", ports_.next_port()}; }

void ProcessFleet::add(const std::string& name, const std::string& program,
                       const std::vector<std::string>& settings) {
  processes_[name].program = program;
  processes_[name].bin_folder = bin_folder_;
  processes_[name].settings = settings;
}

void ProcessFleet::add_own_settings(const std::string& name, const std::vector<std::string>& settings) {
  std::vector<std::string>& own = processes_.at(name).own_settings;
  own.insert(own.end(), settings.begin(), settings.end());
}

void ProcessFleet::set_bin_folder(const std::string& name, const std::string& bin_folder) {
  processes_.at(name).bin_folder = bin_folder;
}

void ProcessFleet::start(const std::string& name) {
  Process& process = processes_.at(name);
  const std::string program = process.bin_folder + "/" + process.program;
  std::vector<std::string> arguments{program};
  std::vector<std::string> settings = process.settings;
  if (process.bin_folder == bin_folder_) {
    settings.insert(settings.end(), process.own_settings.begin(), process.own_settings.end());
  }
  for (const std::string& setting : settings) {
    arguments.push_back("--set");
    arguments.push_back(setting);
  }
  std::vector<char*> raw_arguments;
  raw_arguments.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    raw_arguments.push_back(argument.data());
  }
  raw_arguments.push_back(nullptr);
  const std::string log_file = work_folder_ + "/" + name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // If the child inherited this process's sockets, their connections would stay open.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(program.c_str(), raw_arguments.data());
    _exit(127);
  }
  process.pid = pid;
}

void ProcessFleet::send_signal(const std::string& name, int signal_number) {
  const Process& process = processes_.at(name);
  if (process.pid > 0) {
    ::kill(process.pid, signal_number);
  }
}

void ProcessFleet::request_stop(const std::string& name) { send_signal(name, SIGTERM); }

int ProcessFleet::wait_stopped(const std::string& name, Duration limit) {
  Process& process = processes_.at(name);
  if (process.pid == 0) {
    return 0;
  }
  for (Duration waited{0}; waited < limit; waited += kPollInterval) {
    int status = 0;
    if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
      process.pid = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    sleep_for(kPollInterval);
  }
  kill(name);
  return -1;
}

int ProcessFleet::stop(const std::string& name, Duration limit) {
  request_stop(name);
  return wait_stopped(name, limit);
}

void ProcessFleet::kill(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid > 0) {
    ::kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
  }
}

void ProcessFleet::pause(const std::string& name) { send_signal(name, SIGSTOP); }

void ProcessFleet::resume(const std::string& name) { send_signal(name, SIGCONT); }

bool ProcessFleet::is_running(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid > 0 && waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
    process.pid = 0;
  }
  return process.pid > 0;
}

std::string ProcessFleet::log_of(const std::string& name) const {
  std::ifstream file(work_folder_ + "/" + name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ProcessFleet::make_folder(const std::string& name) const {
  std::string path = work_folder_ + "/" + name;
  std::filesystem::create_directories(path);
  return path;
}

std::vector<std::string> ProcessFleet::names() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace stoat::tools
