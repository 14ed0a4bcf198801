#pragma once

#include <fstream>  // for ofstream
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json

namespace poplarstream::standins {

// Appends JSON objects to a file, one per line. Each line is flushed at once so that a killed
// program loses none. With an empty path, lines are discarded.
class JsonLines
{
public:
    // Throws std::runtime_error when the file cannot be opened.
    explicit JsonLines(const std::string &path);

    void write(const nlohmann::json &line);

private:
    std::ofstream file_;
};

}  // namespace poplarstream::standins
