#pragma once

#include <fstream>  // for ofstream
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json

namespace poplarstream::standins {

// A file of JSON objects, one a line, each written out at once so that a killed program loses none.
// Without a path it drops them.
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
