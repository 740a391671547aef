#ifndef ANVILRIDGE_LOAD_TOOL_LOAD_PROGRAM_H_
#define ANVILRIDGE_LOAD_TOOL_LOAD_PROGRAM_H_

namespace anvilridge {

/// The load tool: runs one open-loop load against daemons and writes its
/// figures as JSON, or reports on such files. Returns the exit code.
int RunLoadProgram(int count, char** arguments);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_LOAD_PROGRAM_H_
