#include "load_tool/load_program.h"

int main(int argc, char** argv) {
  return anvilridge::RunLoadProgram(argc, argv);
}
