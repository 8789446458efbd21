#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fulmarworks {

/** A child process of a test. The destructor kills it with SIGKILL and reaps it. */
class child_process {
public:
    /**
     * Starts a program and appends its standard output and error to a file. Precondition: `command`
     * is not empty and begins with the path of the program.
     */
    child_process(const std::vector<std::string>& command, const std::string& output_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    void signal(int number) const;

    /**
     * Waits for the process to exit. Returns its exit code, 128 plus the signal number if a signal
     * terminated it, or nothing if it still runs after `limit_ms`.
     */
    std::optional<int> wait(time_ms limit_ms);

    [[nodiscard]] pid_t id() const { return id_; }

private:
    pid_t id_ = -1;
};

} // namespace fulmarworks
