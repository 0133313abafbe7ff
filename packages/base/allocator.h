// Settings of the C library's allocator.
//
// Example:
//
//     trefoil::release_large_blocks();  // First in main().

#ifndef TREFOIL_BASE_ALLOCATOR_H_
#define TREFOIL_BASE_ALLOCATOR_H_

namespace trefoil {

// Returns blocks of 1 MiB and more to the system as soon as they are freed. By default the
// allocator would keep the memory of the largest document for the next one.
void release_large_blocks();

}  // namespace trefoil

#endif  // TREFOIL_BASE_ALLOCATOR_H_
