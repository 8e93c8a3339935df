/// The little that storage needs of a file system, so that tests can lose, tear and fail it.
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

/// Files of one data folder, by plain name. What was written counts only after a successful sync.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Whole content, or nullopt when there is no such file.
  virtual tl::expected<std::optional<std::string>, FileError> read(const std::string& name) = 0;
  /// Appends bytes to a file, which is made when missing. Not yet durable.
  virtual FileResult append(const std::string& name, const std::string& bytes) = 0;
  /// Makes what was appended to the file durable.
  virtual FileResult sync(const std::string& name) = 0;
  /// Cuts a file to a length and syncs it.
  virtual FileResult truncate(const std::string& name, uint64_t length) = 0;
  /// Replaces a file in one step: written beside, synced, renamed, and the folder synced.
  virtual FileResult replace(const std::string& name, const std::string& bytes) = 0;
};

/// The real file system, below one folder.
class DiskFileSystem : public FileSystem {
 public:
  /// Makes the folder when missing. Throws std::runtime_error when that fails.
  explicit DiskFileSystem(std::string folder);
  ~DiskFileSystem() override;
  DiskFileSystem(const DiskFileSystem&) = delete;
  DiskFileSystem& operator=(const DiskFileSystem&) = delete;

  tl::expected<std::optional<std::string>, FileError> read(const std::string& name) override;
  FileResult append(const std::string& name, const std::string& bytes) override;
  FileResult sync(const std::string& name) override;
  FileResult truncate(const std::string& name, uint64_t length) override;
  FileResult replace(const std::string& name, const std::string& bytes) override;

 private:
  std::string path_of(const std::string& name) const { return folder_ + "/" + name; }
  FileResult sync_folder();
  int open_for_append(const std::string& name);

  std::string folder_;
  std::string append_name_;  ///< the file that is held open for appending
  int append_descriptor_ = -1;
};

}  // namespace stoat::storage
