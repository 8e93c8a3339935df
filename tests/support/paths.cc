#include "tests/support/paths.h"

namespace stoat::test {

std::string program_folder() { return STOAT_BIN_DIR; }

std::string source_folder() { return STOAT_SOURCE_DIR; }

}  // namespace stoat::test
