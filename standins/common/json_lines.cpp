#include "common/json_lines.hpp"

#include <stdexcept>  // for runtime_error

#include <nlohmann/json.hpp>  // for json

namespace poplarstream::standins {

JsonLines::JsonLines(const std::string &path)
{
    if (!path.empty()) {
        file_.open(path, std::ios::app);
        if (!file_) {
            throw std::runtime_error("cannot write " + path);
        }
    }
}

void JsonLines::write(const nlohmann::json &line)
{
    if (file_.is_open()) {
        file_ << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    }
}

}  // namespace poplarstream::standins
