#include "poplarstream/console/page.hpp"

#include <algorithm>  // for min, max
#include <charconv>  // for from_chars

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for escapeHtml

namespace poplarstream::console {

namespace {

constexpr std::string_view styleSheet = R"(
:root{color-scheme:light}
*{box-sizing:border-box}
body{margin:0;font:16px/1.45 system-ui,sans-serif;color:#1c1c1c;background:#fafafa}
header,main,footer{padding:.6rem 1rem;max-width:75rem;margin:0 auto}
header{border-bottom:2px solid #2a5d4a}
header strong{margin-right:1rem}
nav a{display:inline-block;margin:.2rem .7rem .2rem 0}
a{color:#14513a}
h1{font-size:1.5rem;margin:.6rem 0}h2{font-size:1.2rem;margin:1.4rem 0 .4rem}
.scroll{overflow-x:auto}
table{border-collapse:collapse;width:100%;background:#fff}
caption{text-align:left;font-weight:600;padding:.3rem 0}
th,td{border:1px solid #ccc;padding:.3rem .5rem;text-align:left;vertical-align:top;
overflow-wrap:anywhere;min-width:4rem}
th{background:#eef3f0}
label{display:block;font-weight:600;margin-top:.7rem}
input,select,textarea{font:inherit;width:100%;max-width:32rem;padding:.35rem;border:1px solid #777}
button{font:inherit;padding:.35rem .8rem;margin:.2rem .3rem .2rem 0;border:1px solid #2a5d4a;
background:#fff;cursor:pointer}
button.main{background:#2a5d4a;color:#fff}
:focus-visible{outline:3px solid #b36b00}
.fault{color:#a01818;font-weight:600}.hint{color:#555;font-size:.9rem}
.notice{border-left:4px solid #2a5d4a;background:#eef3f0;padding:.5rem .8rem}
.warning{border-left:4px solid #a01818;background:#fbeeee;padding:.5rem .8rem}
svg{width:100%;height:auto;max-width:48rem;background:#fff;border:1px solid #ccc}
svg text{font:12px sans-serif;fill:#333}
)";

constexpr std::pair<std::string_view, std::string_view> pages[] = {
        {"/", "Overview"},
        {"/console/waves", "Waves"},
        {"/console/pools", "Pools"},
        {"/console/hosts", "Hosts"},
        {"/console/runs", "Runs"},
        {"/console/tenants", "Tenants"},
        {"/console/explain", "Explain"},
        {"/console/draft", "Change configuration"},
};

std::string navigation(const PageContext &context)
{
    std::string html = "<nav aria-label=\"Pages\">";
    for (const auto &[target, label] : pages) {
        html += fmt::format("<a href=\"{}\"{}>{}</a>", target,
                            context.holdsDraft ? " target=\"_blank\" rel=\"noopener\"" : "", label);
    }
    return html + "</nav>";
}

std::string logoutForm(const PageContext &context)
{
    return fmt::format("<form method=\"post\" action=\"/console/logout\">{}"
                       "<button>Log out</button></form>",
                       formTokenField(context));
}

}  // namespace

std::string makePage(const PageContext &context, std::string_view title, std::string_view body)
{
    const bool isLoggedIn = !context.formToken.empty();
    const std::string state =
            isLoggedIn ? fmt::format("version {} in force; the log is {}", context.version,
                                     context.isLogReachable ? "reachable" : "not reachable")
                       : std::string();
    return fmt::format(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
            "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">"
            "<title>{0} - poplarstream</title><style nonce=\"{1}\">{2}</style></head><body>"
            "<header><strong>poplarstream</strong> {3}{4}</header><main><h1>{0}</h1>\n{5}\n</main>"
            "<footer class=\"hint\">entry host {6}{7}</footer></body></html>\n",
            escapeHtml(title), escapeHtml(context.nonce), styleSheet, state,
            isLoggedIn ? navigation(context) : std::string(), body, escapeHtml(context.entryHost),
            isLoggedIn ? logoutForm(context) : std::string());
}

std::vector<std::pair<std::string, std::string>> pageHeaders(std::string_view nonce)
{
    return {{"Content-Type", "text/html; charset=utf-8"},
            {"Content-Security-Policy",
             fmt::format("default-src 'none'; style-src 'nonce-{}'; form-action 'self'; "
                         "base-uri 'none'; frame-ancestors 'none'",
                         nonce)},
            {"X-Content-Type-Options", "nosniff"},
            {"Referrer-Policy", "no-referrer"},
            {"Cache-Control", "no-store"}};
}

std::string formTokenField(const PageContext &context)
{
    return fmt::format("<input type=\"hidden\" name=\"form_token\" value=\"{}\">",
                       escapeHtml(context.formToken));
}

std::string loginPage(const PageContext &context, std::string_view loginNonce,
                      std::string_view message)
{
    const std::string notice =
            message.empty() ? std::string()
                            : fmt::format("<p class=\"fault\" id=\"fault-token\" role=\"alert\">{}"
                                          "</p>",
                                          escapeHtml(message));
    return makePage(context, "Log in",
                    fmt::format("<form method=\"post\" action=\"/console/login\">"
                                "<input type=\"hidden\" name=\"login_nonce\" value=\"{}\">"
                                "<label for=\"token\">Operator's token</label>"
                                "<input id=\"token\" name=\"token\" type=\"password\" "
                                "autocomplete=\"current-password\" required{}>{}"
                                "<p><button class=\"main\">Log in</button></p></form>",
                                escapeHtml(loginNonce),
                                message.empty() ? "" : " aria-describedby=\"fault-token\"",
                                notice));
}

std::string messagePage(const PageContext &context, std::string_view title,
                        std::string_view message)
{
    return makePage(context, title, fmt::format("<p class=\"notice\">{}</p>", escapeHtml(message)));
}

std::string makeTable(std::string_view caption, const std::vector<std::string_view> &headers,
                      const std::vector<std::vector<std::string>> &rows)
{
    std::string html = fmt::format("<div class=\"scroll\"><table><caption>{}</caption><thead><tr>",
                                   escapeHtml(caption));
    for (const std::string_view header : headers) {
        html += fmt::format("<th scope=\"col\">{}</th>", escapeHtml(header));
    }
    html += "</tr></thead><tbody>";
    for (const auto &row : rows) {
        html += "<tr>";
        for (const std::string &cell : row) {
            html += "<td>" + cell + "</td>";
        }
        html += "</tr>\n";
    }
    if (rows.empty()) {
        html += fmt::format("<tr><td colspan=\"{}\">none</td></tr>", headers.size());
    }
    return html + "</tbody></table></div>";
}

std::string idLink(std::string_view kind, std::string_view id)
{
    return fmt::format("<a href=\"/console/{}/{}\">{}</a>", kind, encodeUrl(id), escapeHtml(id));
}

ListRange listRange(std::size_t rows, std::string_view page)
{
    ListRange range;
    range.pages = std::max<std::size_t>(1, (rows + rowsPerPage - 1) / rowsPerPage);
    std::from_chars(page.data(), page.data() + page.size(), range.page);
    range.page = std::min(range.page, range.pages - 1);
    range.begin = range.page * rowsPerPage;
    range.end = std::min(rows, range.begin + rowsPerPage);
    return range;
}

}  // namespace poplarstream::console
