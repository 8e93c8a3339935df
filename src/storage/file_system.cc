#include "src/storage/file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace stoat::storage {

namespace {

constexpr int kFileMode = 0640;

tl::unexpected<FileError> failure(const std::string& path, const char* operation) {
  return tl::make_unexpected(FileError{path, std::string(operation) + ": " + std::strerror(errno)});
}

bool write_all(int descriptor, const std::string& bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

DiskFileSystem::DiskFileSystem(std::string directory) : directory_(std::move(directory)) {
  std::error_code error;
  std::filesystem::create_directories(directory_, error);
  if (error) {
    throw std::runtime_error("cannot create the data directory " + directory_ + ": " + error.message());
  }
}

DiskFileSystem::~DiskFileSystem() {
  if (append_descriptor_ >= 0) {
    ::close(append_descriptor_);
  }
}

tl::expected<std::optional<std::string>, FileError> DiskFileSystem::read(const std::string& name) {
  const std::string path = path_of(name);
  if (!std::filesystem::exists(path)) {
    return std::optional<std::string>();
  }
  std::ifstream stream(path, std::ios::binary);
  std::stringstream content;
  content << stream.rdbuf();
  if (!stream) {
    return failure(path, "read");
  }
  return std::optional<std::string>(content.str());
}

int DiskFileSystem::open_for_append(const std::string& name) {
  if (append_descriptor_ >= 0 && append_name_ == name) {
    return append_descriptor_;
  }
  if (append_descriptor_ >= 0) {
    ::close(append_descriptor_);
  }
  append_name_ = name;
  append_descriptor_ = ::open(path_of(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  return append_descriptor_;
}

FileResult DiskFileSystem::append(const std::string& name, const std::string& bytes) {
  const int descriptor = open_for_append(name);
  if (descriptor < 0) {
    return failure(path_of(name), "open");
  }
  if (!write_all(descriptor, bytes)) {
    return failure(path_of(name), "write");
  }
  return {};
}

FileResult DiskFileSystem::sync(const std::string& name) {
  const int descriptor = open_for_append(name);
  if (descriptor < 0 || ::fdatasync(descriptor) != 0) {
    return failure(path_of(name), "sync");
  }
  return {};
}

FileResult DiskFileSystem::truncate(const std::string& name, uint64_t length) {
  const int descriptor = open_for_append(name);
  if (descriptor < 0 || ::ftruncate(descriptor, static_cast<off_t>(length)) != 0 ||
      ::fsync(descriptor) != 0) {
    return failure(path_of(name), "truncate");
  }
  return {};
}

FileResult DiskFileSystem::replace(const std::string& name, const std::string& bytes) {
  const std::string path = path_of(name);
  const std::string temporary_path = path + ".new";
  const int descriptor = ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return failure(temporary_path, "open");
  }
  const bool written = write_all(descriptor, bytes) && ::fsync(descriptor) == 0;
  ::close(descriptor);
  if (!written) {
    return failure(temporary_path, "write");
  }
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) {
    return failure(path, "rename");
  }
  if (append_name_ == name && append_descriptor_ >= 0) {
    ::close(append_descriptor_);
    append_descriptor_ = -1;
  }
  return sync_directory();
}

FileResult DiskFileSystem::sync_directory() {
  const int descriptor = ::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return failure(directory_, "open");
  }
  const int result = ::fsync(descriptor);
  ::close(descriptor);
  if (result != 0) {
    return failure(directory_, "sync");
  }
  return {};
}

}  // namespace stoat::storage
