#ifndef LAPISHATCH_TEST_SOAK_FOLDER_H_
#define LAPISHATCH_TEST_SOAK_FOLDER_H_

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace lapishatch::soak {

inline const std::string kSiteProgram =
    std::string(LAPISHATCH_BINARY_DIR) + "/bin/lapishatch-site";

/// A folder for one run's settings and logs, removed at the end.
class Folder {
 public:
  Folder() {
    auto name =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path_ = name;
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TEST_SOAK_FOLDER_H_
