#pragma once

#include "http/event_loop.h"
#include "service/service_settings.h"

#include <memory>

namespace fulmarworks {

/**
 * One running instance: the shell around `reduce`, which turns what happens on sockets and timers
 * into events and carries out effects.
 *
 *     event_loop loop;
 *     auto service = instance_service::start(loop, settings);
 *     loop.run();
 *
 * Not thread safe; runs on the loop's thread. The loop must outlive it.
 */
class instance_service {
public:
    /** Listens and starts to follow the log. Errors: unavailable where an address is taken. */
    [[nodiscard]] static result<std::unique_ptr<instance_service>>
    start(event_loop& loop, const service_settings& settings);

    ~instance_service();
    instance_service(const instance_service&) = delete;
    instance_service& operator=(const instance_service&) = delete;

    /** Leaves the fleet, finishes the requests in progress and then stops the loop. */
    void shut_down();

private:
    struct impl;
    explicit instance_service(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
