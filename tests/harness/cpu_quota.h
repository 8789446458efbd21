#pragma once

#include <map>
#include <mutex>
#include <sys/types.h>
#include <thread>

namespace fulmarworks {

/**
 * Holds processes to a share of a core each: one that has used up its share of a period of 100 ms
 * is stopped until the next period, as by a processor quota of the kernel. Works by signals, so it
 * needs no privileges. Thread safe.
 */
class cpu_quota {
public:
    cpu_quota();
    /** Lets all limited processes run on. */
    ~cpu_quota();
    cpu_quota(const cpu_quota&) = delete;
    cpu_quota& operator=(const cpu_quota&) = delete;

    /** Limits a child process. Precondition: `share` is greater than 0. */
    void limit(pid_t process, double share);

    /** Forgets a process; must be called before it is reaped. */
    void remove(pid_t process);

    /** Keeps a limited process stopped, or lets it run within its quota again. */
    void set_paused(pid_t process, bool paused);

private:
    struct limited_process {
        double share = 1;
        std::int64_t used_before_ns = 0;
        /** Whether it has used up its quota of the current period. */
        bool exhausted = false;
        bool paused = false;
    };

    void run(const std::stop_token& stop);
    void begin_period();
    void check();

    std::mutex mutex_;
    std::map<pid_t, limited_process> processes_;
    std::jthread thread_;
};

} // namespace fulmarworks
