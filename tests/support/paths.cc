#include "tests/support/paths.h"

namespace stoat::test {

std::string program_directory() { return STOAT_BIN_DIR; }

std::string source_root() { return STOAT_SOURCE_DIR; }

}  // namespace stoat::test
