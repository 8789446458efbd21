#pragma once

#include "base/time.h"

#include <functional>
#include <memory>

struct event_base;

namespace fulmarworks {

/** Event loop on libevent. Not thread safe; all callbacks run on the thread that calls `run`. */
class event_loop {
public:
    /** Ignores SIGPIPE in the whole process. Throws std::runtime_error if libevent fails. */
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Runs until `stop` is called. */
    void run();

    /** Runs until `done` returns true or `limit_ms` has passed; returns the last value of `done`.
     */
    bool run_until(const std::function<bool()>& done, time_ms limit_ms);

    void stop();

    /** Calls `action` every `interval_ms` until the loop is destroyed. Precondition: `interval_ms`
     * is above 0. */
    void every(time_ms interval_ms, std::function<void()> action);

    /** Calls `action` once, `delay_ms` from now. */
    void after(time_ms delay_ms, std::function<void()> action);

    /** Calls `action` whenever the process receives `signal`, such as SIGTERM. */
    void on_signal(int signal, std::function<void()> action);

    /** Calls `action` whenever `descriptor` is readable. The descriptor must stay open until the
     * loop is destroyed. */
    void on_readable(int descriptor, std::function<void()> action);

    [[nodiscard]] event_base* base() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
