#include "src/common/build_info.h"

namespace stoat {

const char* build_commit() { return STOAT_COMMIT; }

std::map<std::string, std::string> build_labels() {
  return {{"version", kBuildVersion}, {"commit", build_commit()}};
}

}  // namespace stoat
