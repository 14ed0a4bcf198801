#pragma once

#include <filesystem>  // for path
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream::standins {

// The lines of a file, none if it is missing. A last line that is cut off is left out.
std::vector<nlohmann::json> readLines(const std::filesystem::path &path);

// The idempotent services of the document fleet.ini in the folder.
std::set<std::string> idempotentServices(const std::filesystem::path &folder);

// A field with milliseconds since the epoch.
TimePoint at(const nlohmann::json &line, const char *field);

}  // namespace poplarstream::standins
