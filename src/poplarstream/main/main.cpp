#include <cstdio>  // for stdout

#include <fmt/format.h>  // for print

int main()
{
    fmt::print("poplarstream {}\n", POPLAR_VERSION);
    return 0;
}
