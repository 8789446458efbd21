#pragma once

#include "base/enum_names.h"
#include "http/http_server.h"

#include <memory>
#include <set>

struct evconnlistener;

namespace fulmarworks {

/** Fault that the proxy injects into a connection. */
enum class proxy_fault {
    none,
    /** Closes every connection. */
    cut,
    /** Keeps connections open but discards all data. */
    silent,
    /** Forwards requests but discards responses. */
    lose_answers,
    /** Delays all data. */
    delay,
};

template <>
struct enum_names<proxy_fault> {
    static constexpr enum_name<proxy_fault> names[] = {{proxy_fault::none, "none"},
                                                       {proxy_fault::cut, "cut"},
                                                       {proxy_fault::silent, "silent"},
                                                       {proxy_fault::lose_answers, "lose_answers"},
                                                       {proxy_fault::delay, "delay"}};
};

/**
 * TCP proxy that injects faults between clients and a target. A fault applies to the connections
 * that are open when it is set and, unless `open_only`, to later ones. Not thread safe.
 */
class fault_proxy {
public:
    [[nodiscard]] static result<std::unique_ptr<fault_proxy>>
    listen(event_loop& loop, const std::string& address, const std::string& target);

    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    void set_fault(proxy_fault fault, time_ms delay_ms, bool open_only);

private:
    struct impl;
    explicit fault_proxy(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
