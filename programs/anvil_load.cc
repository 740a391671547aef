#include "load/load_program.h"

int main(int argc, char** argv) {
  return anvilridge::RunLoadProgram(argc, argv);
}
