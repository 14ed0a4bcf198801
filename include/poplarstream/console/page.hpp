#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string
#include <string_view>  // for string_view
#include <utility>  // for pair
#include <vector>  // for vector

namespace poplarstream::console {

// Data for the header and footer of every page. `formToken` is empty before login.
struct PageContext
{
    std::string entryHost;
    std::string formToken;
    std::string nonce;  // for the style sheet in the CSP; random, new for each response
    std::uint64_t version = 0;
    bool isLogReachable = false;
    bool holdsDraft = false;  // links open a new tab, to keep the draft in this page
};

// A complete HTML document. `body` is HTML, `title` is plain text.
std::string makePage(const PageContext &context, std::string_view title, std::string_view body);

// The HTTP headers of every console response, with the content type of an HTML page.
std::vector<std::pair<std::string, std::string>> pageHeaders(std::string_view nonce);

// The hidden form field with the token against cross-site request forgery.
std::string formTokenField(const PageContext &context);

// The login form. `loginNonce` is also set as a cookie and must match it. `message` may be empty.
std::string loginPage(const PageContext &context, std::string_view loginNonce,
                      std::string_view message);

// A page with a single notice, for a page that cannot be shown or an action that was refused.
std::string messagePage(const PageContext &context, std::string_view title,
                        std::string_view message);

// A table with a caption. `headers` are plain text, cells are HTML.
std::string makeTable(std::string_view caption, const std::vector<std::string_view> &headers,
                      const std::vector<std::vector<std::string>> &rows);

// A link to /console/<kind>/<id> with the escaped id as its label.
std::string idLink(std::string_view kind, std::string_view id);

// The rows of a list that one page shows.
struct ListRange
{
    std::size_t begin = 0;
    std::size_t end = 0;
    std::size_t page = 0;  // from 0
    std::size_t pages = 1;
};

inline constexpr std::size_t rowsPerPage = 50;

// The range for an untrusted page number; numbers past the end give the last page.
ListRange listRange(std::size_t rows, std::string_view page);

}  // namespace poplarstream::console
