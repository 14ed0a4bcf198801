#pragma once

#include "command_line.hpp"  // for CommandLine

namespace poplarstream {

// One function for each subcommand. Each returns the exit status and throws when its input cannot
// be read.

int runServe(const CommandLine &commandLine);
int runEntry(const CommandLine &commandLine);
int runCheck(const CommandLine &commandLine);
int runPublish(const CommandLine &commandLine);
int runDocument(const CommandLine &commandLine);
int runStatus(const CommandLine &commandLine);
int runExplain(const CommandLine &commandLine);
int runEvents();

}  // namespace poplarstream
