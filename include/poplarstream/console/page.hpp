#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string
#include <string_view>  // for string_view
#include <utility>  // for pair
#include <vector>  // for vector

namespace poplarstream::console {

// What every page shows around its body. `formToken` is empty before the login.
struct PageContext
{
    std::string entryHost;
    std::string formToken;
    std::string nonce;  // of the style sheet; from a random source, new for each response
    std::uint64_t version = 0;
    bool isLogReachable = false;
    bool keepsDraft = false;  // links open a new tab, since the draft lives in this page
};

// A whole HTML document. `body` is HTML, `title` is text.
std::string makePage(const PageContext &context, std::string_view title, std::string_view body);

// The headers of every response of the console, with the content type of a page.
std::vector<std::pair<std::string, std::string>> pageHeaders(std::string_view nonce);

// The hidden field that each form post carries.
std::string formTokenField(const PageContext &context);

// Asks for the operator's token. `loginNonce` is repeated in a cookie. `message` may be empty.
std::string loginPage(const PageContext &context, std::string_view loginNonce,
                      std::string_view message);

// One notice, with the reason why a page can not be shown or an action was refused.
std::string messagePage(const PageContext &context, std::string_view title,
                        std::string_view message);

// A table with a caption. `heads` are texts, cells are HTML.
std::string makeTable(std::string_view caption, const std::vector<std::string_view> &heads,
                      const std::vector<std::vector<std::string>> &rows);

// A link with escaped label to /console/<kind>/<id>.
std::string idLink(std::string_view kind, std::string_view id);

// The part of a list that one page shows.
struct ListRange
{
    std::size_t begin = 0;
    std::size_t end = 0;
    std::size_t page = 0;  // from 0
    std::size_t pages = 1;
};

inline constexpr std::size_t rowsPerPage = 50;

// The range for a page number from outside; numbers past the end give the last page.
ListRange listRange(std::size_t rows, std::string_view page);

}  // namespace poplarstream::console
