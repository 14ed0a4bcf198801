#pragma once

#include <map>  // for map
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint

namespace poplarstream::standins {

// A section `[kind name]` of a configuration file.
struct Section
{
    std::string kind;
    std::string name;
    std::map<std::string, std::string> keys;

    std::string text(const std::string &key, const std::string &fallback = "") const;
    double number(const std::string &key, double fallback) const;
    std::vector<std::string> list(const std::string &key) const;  // separated by commas or spaces
    std::vector<HttpEndpoint> endpoints(const std::string &key) const;
};

// Reads an INI file. Throws std::runtime_error with the file name if it cannot be read.
std::vector<Section> readDocument(const std::string &path);

// Returns the sections of one kind.
std::vector<Section> sectionsOf(const std::vector<Section> &document, const std::string &kind);

}  // namespace poplarstream::standins
