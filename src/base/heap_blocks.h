#ifndef ANVILRIDGE_BASE_HEAP_BLOCKS_H_
#define ANVILRIDGE_BASE_HEAP_BLOCKS_H_

namespace anvilridge {

/// Has large blocks of the heap returned to the system when they are freed, so
/// that the memory of a daemon follows what it keeps. To be called before other
/// threads run.
void ReturnLargeBlocksWhenFreed();

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_HEAP_BLOCKS_H_
