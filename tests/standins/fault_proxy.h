#pragma once

#include "base/enum_names.h"
#include "http/http_server.h"

#include <memory>
#include <set>

struct evconnlistener;

namespace fulmarworks {

/** What the proxy does to the bytes that pass. */
enum class proxy_fault {
    none,
    /** Closes every connection. */
    cut,
    /** Keeps connections open but passes nothing on. */
    silent,
    /** Passes requests on but no answers. */
    lose_answers,
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
 * A TCP proxy on libevent that stands between two parties and injects faults. A fault marks the
 * connections that are open when it is set and, unless `open_only`, those made later.
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
