#include "child_process.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace fulmarworks {

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& output_file) {
    std::vector<char*> arguments;
    for (const auto& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    id_ = fork();
    if (id_ != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

child_process::~child_process() {
    if (id_ > 0) {
        kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
    }
}

child_process::child_process(child_process&& other) noexcept : id_(std::exchange(other.id_, -1)) {}

void child_process::signal(int number) const {
    if (id_ > 0) {
        kill(id_, number);
    }
}

std::optional<int> child_process::wait(time_ms limit_ms) {
    const time_ms end = monotonic_now() + limit_ms;
    int status = 0;
    constexpr useconds_t pause_us = 5000;
    while (waitpid(id_, &status, WNOHANG) == 0) {
        if (monotonic_now() >= end) {
            return std::nullopt;
        }
        usleep(pause_us);
    }
    id_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace fulmarworks
