#pragma once

#include "command_line.hpp"  // for CommandLine

namespace poplarstream {

// The subcommands. Each returns the exit status and may throw for input that cannot be read.

int serve(const CommandLine &line);
int entry(const CommandLine &line);
int check(const CommandLine &line);
int publish(const CommandLine &line);
int printDocument(const CommandLine &line);
int status(const CommandLine &line);
int explain(const CommandLine &line);
int printEvents();

}  // namespace poplarstream
