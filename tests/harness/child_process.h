#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fulmarworks {

/** A process that a test started; it is killed when this goes out of scope. */
class child_process {
public:
    /** Starts a program whose output goes to a file. Precondition: `command` is not empty. */
    child_process(const std::vector<std::string>& command, const std::string& output_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    void signal(int number) const;

    /** Waits for the end; returns the exit code, or nothing if it still runs. */
    std::optional<int> wait(time_ms limit_ms);

    [[nodiscard]] pid_t id() const { return id_; }

private:
    pid_t id_ = -1;
};

} // namespace fulmarworks
