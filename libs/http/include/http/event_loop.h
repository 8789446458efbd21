#pragma once

#include "base/time.h"

#include <functional>
#include <memory>

struct event_base;

namespace fulmarworks {

/**
 * The one loop of a process. Not thread safe; everything runs on the thread that calls `run`.
 */
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Runs until `stop`. */
    void run();

    /** Runs until `done` returns true or the time is up; returns whether it was done. */
    bool run_until(const std::function<bool()>& done, time_ms limit_ms);

    void stop();

    /** Calls `action` every `interval_ms` for the life of the loop. Precondition: above 0. */
    void every(time_ms interval_ms, std::function<void()> action);

    /** Calls `action` once, `delay_ms` from now. */
    void after(time_ms delay_ms, std::function<void()> action);

    /** Calls `action` on a signal such as SIGTERM. */
    void on_signal(int signal, std::function<void()> action);

    /** Calls `action` whenever a descriptor is readable. The descriptor must outlive the loop. */
    void on_readable(int descriptor, std::function<void()> action);

    [[nodiscard]] event_base* base() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
