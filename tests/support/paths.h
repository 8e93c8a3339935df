/// Where a test finds the built programs and the files of the source tree.
#pragma once

#include <string>

namespace stoat::test {

/// The folder of the built programs.
std::string program_directory();
/// The root of the source tree.
std::string source_root();

}  // namespace stoat::test
