/// Paths of the built programs and of the source tree, for tests.
#pragma once

#include <string>

namespace stoat::test {

/// Returns the directory that contains the built programs.
std::string program_directory();
/// Returns the directory of the programs of the production build, which scripts/build-production makes.
std::string production_program_directory();
/// Returns the root directory of the source tree.
std::string source_root();

}  // namespace stoat::test
