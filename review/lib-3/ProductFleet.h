// Programs of a fleet that runs with the product's own settings and interface.
#pragma once

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace peridotquay::review {

/// A folder with the programs under the names that the stand-in of a fleet expects. `quayd` is the
/// deploy file's command, with the settings file passed in the environment.
inline std::string LinkPrograms(const std::string& aRepository, const std::string& aPrograms)
{
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  for (const char* program : { "quayctl", "standin_platform", "standin_target" }) {
    std::filesystem::create_symlink(aPrograms + "/" + program, name + "/" + program);
  }
  std::ofstream(name + "/quayd") << "#!/bin/sh\nexport PERIDOTQUAY_CONFIG=\"${1#--config=}\"\nexec "
                                 << aRepository << "/target/quayd\n";
  std::filesystem::permissions(name + "/quayd", std::filesystem::perms::owner_all);
  return name;
}

} // namespace peridotquay::review
