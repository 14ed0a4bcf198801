#include "history/lines.hpp"

#include <fstream>  // for ifstream
#include <stdexcept>  // for runtime_error

#include "common/document.hpp"  // for readDocument, sectionsOf

namespace poplarstream::standins {

using nlohmann::json;

std::vector<json> readJsonLines(const std::filesystem::path &path)
{
    std::vector<json> lines;
    std::ifstream file(path);
    for (std::string text; std::getline(file, text);) {
        json line = json::parse(text, nullptr, false);
        if (!line.is_discarded()) {
            lines.push_back(std::move(line));
        } else if (!file.eof()) {
            throw std::runtime_error(path.string() + " has a line that is not valid JSON");
        }
    }
    return lines;
}

std::set<std::string> idempotentServices(const std::filesystem::path &folder)
{
    std::set<std::string> names;
    for (const Section &section : sectionsOf(readDocument(folder / "fleet.ini"), "service")) {
        if (section.text("idempotent") == "yes") {
            names.insert(section.name);
        }
    }
    return names;
}

TimePoint timeField(const json &line, const char *field)
{
    return timePoint(static_cast<std::int64_t>(line.at(field).get<double>()));
}

}  // namespace poplarstream::standins
