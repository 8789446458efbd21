#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace fulmarworks::crowd {

namespace {

std::string proc_path(pid_t process, const char* name) {
    return "/proc/" + std::to_string(process) + "/" + name;
}

} // namespace

std::size_t peak_memory_bytes(pid_t process) {
    std::ifstream status(proc_path(process, "status"));
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process) {
    std::error_code failed;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator next(proc_path(process, "fd"), failed), end;
         !failed && next != end; next.increment(failed)) {
        ++count;
    }
    return count;
}

} // namespace fulmarworks::crowd
