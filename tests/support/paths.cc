#include "tests/support/paths.h"

#include <fstream>

namespace stoat::test {

std::string program_directory() { return STOAT_BIN_DIR; }

std::string production_program_directory() {
  std::ifstream file(source_root() + "/build/production-programs");
  std::string directory;
  std::getline(file, directory);
  return directory;
}

std::string source_root() { return STOAT_SOURCE_DIR; }

}  // namespace stoat::test
