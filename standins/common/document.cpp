#include "common/document.hpp"

#include <algorithm>  // for copy_if
#include <iterator>  // for back_inserter
#include <stdexcept>  // for runtime_error

#include <boost/property_tree/ini_parser.hpp>  // for read_ini
#include <boost/property_tree/ptree.hpp>  // for ptree
#include <fmt/format.h>  // for format

namespace poplarstream::standins {

std::string Section::text(const std::string &key, const std::string &fallback) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? fallback : found->second;
}

double Section::number(const std::string &key, double fallback) const
{
    const std::string value = text(key);
    return value.empty() ? fallback : std::stod(value);
}

std::vector<std::string> Section::list(const std::string &key) const
{
    std::vector<std::string> items;
    const std::string value = text(key);
    for (std::size_t start = 0; (start = value.find_first_not_of(", \t", start)) != value.npos;) {
        const std::size_t end = std::min(value.find_first_of(", \t", start), value.size());
        items.push_back(value.substr(start, end - start));
        start = end;
    }
    return items;
}

std::vector<HttpEndpoint> Section::endpoints(const std::string &key) const
{
    std::vector<HttpEndpoint> endpoints;
    for (const std::string &item : list(key)) {
        const auto endpoint = endpointFromText(item);
        if (!endpoint) {
            throw std::runtime_error(
                    fmt::format("[{} {}] {}: '{}' is not ip:port", kind, name, key, item));
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::vector<Section> readDocument(const std::string &path)
{
    boost::property_tree::ptree tree;
    try {
        boost::property_tree::read_ini(path, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        throw std::runtime_error(error.what());
    }
    std::vector<Section> sections;
    for (const auto &[title, content] : tree) {
        const std::size_t space = title.find(' ');
        Section section{title.substr(0, space), "", {}};
        if (space != std::string::npos) {
            section.name = title.substr(space + 1);
        }
        for (const auto &[key, value] : content) {
            section.keys[key] = value.data();
        }
        sections.push_back(std::move(section));
    }
    return sections;
}

std::vector<Section> sectionsOf(const std::vector<Section> &document, const std::string &kind)
{
    std::vector<Section> found;
    std::copy_if(document.begin(), document.end(), std::back_inserter(found),
                 [&kind](const Section &section) { return section.kind == kind; });
    return found;
}

}  // namespace poplarstream::standins
