#include "http/event_loop.h"

#include <csignal>
#include <event2/event.h>
#include <list>
#include <stdexcept>

namespace fulmarworks {

namespace {

struct registration {
    std::function<void()> action;
    struct event* handle = nullptr;
    bool once = false;
    std::list<registration>* owner = nullptr;
    std::list<registration>::iterator position;
};

timeval to_timeval(time_ms duration) {
    return {static_cast<time_t>(duration / milliseconds_per_second),
            static_cast<suseconds_t>(duration % milliseconds_per_second * 1000)};
}

void run_registration(evutil_socket_t, short, void* argument) {
    auto* r = static_cast<registration*>(argument);
    if (!r->once) {
        r->action();
        return;
    }
    const auto action = std::move(r->action);
    event_free(r->handle);
    r->owner->erase(r->position);
    action();
}

} // namespace

struct event_loop::impl {
    event_base* base = nullptr;
    std::list<registration> registrations;

    registration& add(std::function<void()> action, bool once) {
        registrations.push_back({std::move(action), nullptr, once, &registrations, {}});
        registrations.back().position = std::prev(registrations.end());
        return registrations.back();
    }

    void add_event(int descriptor, short flags, std::function<void()> action, bool once,
                   const timeval* timeout) {
        registration& r = add(std::move(action), once);
        r.handle = event_new(base, descriptor, flags, run_registration, &r);
        event_add(r.handle, timeout);
    }
};

event_loop::event_loop() : impl_(std::make_unique<impl>()) {
    std::signal(SIGPIPE, SIG_IGN);
    impl_->base = event_base_new();
    if (impl_->base == nullptr) {
        throw std::runtime_error("cannot create the event loop; check the limit of descriptors");
    }
}

event_loop::~event_loop() {
    for (auto& r : impl_->registrations) {
        event_free(r.handle);
    }
    event_base_free(impl_->base);
}

void event_loop::run() {
    event_base_dispatch(impl_->base);
}

bool event_loop::run_until(const std::function<bool()>& done, time_ms limit_ms) {
    const time_ms end = monotonic_now() + limit_ms;
    while (!done() && monotonic_now() < end) {
        // Checks `done` at least every 20 ms, also without any event.
        const timeval slice = to_timeval(std::min<time_ms>(end - monotonic_now() + 1, 20));
        event_base_loopexit(impl_->base, &slice);
        event_base_loop(impl_->base, EVLOOP_ONCE);
    }
    return done();
}

void event_loop::stop() {
    event_base_loopbreak(impl_->base);
}

void event_loop::every(time_ms interval_ms, std::function<void()> action) {
    const timeval interval = to_timeval(interval_ms);
    impl_->add_event(-1, EV_PERSIST, std::move(action), false, &interval);
}

void event_loop::after(time_ms delay_ms, std::function<void()> action) {
    const timeval delay = to_timeval(delay_ms);
    impl_->add_event(-1, EV_TIMEOUT, std::move(action), true, &delay);
}

void event_loop::on_signal(int signal, std::function<void()> action) {
    impl_->add_event(signal, EV_SIGNAL | EV_PERSIST, std::move(action), false, nullptr);
}

void event_loop::on_readable(int descriptor, std::function<void()> action) {
    impl_->add_event(descriptor, EV_READ | EV_PERSIST, std::move(action), false, nullptr);
}

event_base* event_loop::base() const {
    return impl_->base;
}

} // namespace fulmarworks
