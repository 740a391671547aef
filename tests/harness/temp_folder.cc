#include "harness/temp_folder.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace anvilridge {

temp_folder::temp_folder() : path_(::testing::TempDir() + "anvil-XXXXXX") {
  if (mkdtemp(path_.data()) == nullptr) ADD_FAILURE() << "no folder " << path_;
}

temp_folder::~temp_folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string temp_folder::File(absl::string_view name) const {
  return absl::StrCat(path_, "/", name);
}

std::string temp_folder::Write(absl::string_view name,
                               absl::string_view content) const {
  std::string path = File(name);
  std::ofstream(path, std::ios::binary)
      .write(content.data(), static_cast<std::streamsize>(content.size()));
  return path;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace anvilridge
