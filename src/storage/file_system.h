/// The file system operations that storage needs, as an interface, so that tests can simulate lost data, torn
/// writes and I/O errors.
#pragma once

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace stoat::storage {

/// Why a file operation failed.
struct FileError {
  std::string path;
  std::string message;
};

using FileResult = tl::expected<void, FileError>;

/// The files of one data directory, identified by name. Appended data is durable only after a successful
/// sync.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// The whole content of a file, or nullopt if it does not exist.
  virtual tl::expected<std::optional<std::string>, FileError> read(const std::string& name) = 0;
  /// Appends bytes to a file, which is created if missing. They are not durable before sync().
  virtual FileResult append(const std::string& name, const std::string& bytes) = 0;
  /// Makes all data appended to a file durable.
  virtual FileResult sync(const std::string& name) = 0;
  /// Truncates a file to a length and syncs it.
  virtual FileResult truncate(const std::string& name, uint64_t length) = 0;
  /// Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the directory.
  virtual FileResult replace(const std::string& name, const std::string& bytes) = 0;
};

/// Files of a directory on disk.
class DiskFileSystem : public FileSystem {
 public:
  /// Creates the directory if missing. Throws std::runtime_error if that fails.
  explicit DiskFileSystem(std::string directory);
  ~DiskFileSystem() override;
  DiskFileSystem(const DiskFileSystem&) = delete;
  DiskFileSystem& operator=(const DiskFileSystem&) = delete;

  tl::expected<std::optional<std::string>, FileError> read(const std::string& name) override;
  FileResult append(const std::string& name, const std::string& bytes) override;
  FileResult sync(const std::string& name) override;
  FileResult truncate(const std::string& name, uint64_t length) override;
  FileResult replace(const std::string& name, const std::string& bytes) override;

 private:
  std::string path_of(const std::string& name) const { return directory_ + "/" + name; }
  FileResult sync_directory();
  int open_for_append(const std::string& name);

  std::string directory_;
  std::string append_name_;  ///< the file that is kept open for appending
  int append_descriptor_ = -1;
};

}  // namespace stoat::storage
