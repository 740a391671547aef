#include <cstdio>

/// Entry daemon.
int main() {
  std::puts("anvilridged " ANVIL_VERSION);
  return 0;
}
