#pragma once

#include "http/event_loop.h"
#include "service/service_settings.h"

#include <memory>

namespace fulmarworks {

/**
 * One running instance: turns input from sockets and timers into events for `reduce` and performs
 * the resulting effects.
 *
 *     event_loop loop;
 *     auto service = instance_service::start(loop, settings);
 *     loop.run();
 *
 * Not thread safe; runs on the loop's thread. The loop must outlive the service.
 */
class instance_service {
public:
    /** Listens on its addresses and starts to read the log. Errors: unavailable if an address is in
     * use. */
    [[nodiscard]] static result<std::unique_ptr<instance_service>>
    start(event_loop& loop, const service_settings& settings);

    ~instance_service();
    instance_service(const instance_service&) = delete;
    instance_service& operator=(const instance_service&) = delete;

    /** Leaves the group of instances, finishes the requests in progress and stops the loop. */
    void shut_down();

private:
    struct impl;
    explicit instance_service(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
