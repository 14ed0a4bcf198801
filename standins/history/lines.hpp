#pragma once

#include <filesystem>  // for path
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream::standins {

// Reads the JSON lines of a file; none if it is missing. Ignores a truncated last line.
std::vector<nlohmann::json> readJsonLines(const std::filesystem::path &path);

// The idempotent services in the fleet.ini of the folder.
std::set<std::string> idempotentServices(const std::filesystem::path &folder);

// A time field, in milliseconds since the Unix epoch.
TimePoint timeField(const nlohmann::json &line, const char *field);

}  // namespace poplarstream::standins
