#ifndef ANVILRIDGE_TESTS_HARNESS_TEMP_FOLDER_H_
#define ANVILRIDGE_TESTS_HARNESS_TEMP_FOLDER_H_

#include <string>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// A new folder that is removed with all that is in it.
class temp_folder {
 public:
  temp_folder();
  ~temp_folder();
  temp_folder(const temp_folder&) = delete;
  temp_folder& operator=(const temp_folder&) = delete;

  /// Returns the path of the folder.
  const std::string& Path() const { return path_; }

  /// Returns the path of `name` in the folder.
  std::string File(absl::string_view name) const;

  /// Writes `content` to `name` and returns its path.
  std::string Write(absl::string_view name, absl::string_view content) const;

 private:
  std::string path_;
};

/// Returns the content of a file, or "" when it can't be read.
std::string ReadFile(const std::string& path);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_TEMP_FOLDER_H_
