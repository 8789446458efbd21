#pragma once

#include <cstddef>
#include <sys/types.h>

namespace fulmarworks::crowd {

/** Returns the largest resident memory of a process so far in bytes, from VmHWM in
 * /proc/PID/status; 0 if the process has ended. */
[[nodiscard]] std::size_t peak_memory_bytes(pid_t process);

/** Returns the number of open descriptors of a process; 0 if it has ended. */
[[nodiscard]] std::size_t open_descriptors(pid_t process);

} // namespace fulmarworks::crowd
