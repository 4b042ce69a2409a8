#ifndef LAPISHATCH_TEST_SOAK_TEMPORARY_FOLDER_H_
#define LAPISHATCH_TEST_SOAK_TEMPORARY_FOLDER_H_

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace lapishatch::soak {

inline const std::string kSiteProgram =
    std::string(LAPISHATCH_BINARY_DIR) + "/bin/lapishatch-site";

/// A folder for the settings and logs of one run, removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    auto name =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path_ = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TEST_SOAK_TEMPORARY_FOLDER_H_
