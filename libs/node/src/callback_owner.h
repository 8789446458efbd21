#pragma once

#include "http/event_loop.h"

#include <memory>
#include <utility>

namespace fulmarworks::node {

/**
 * Base class for objects that pass callbacks to asynchronous calls, which may outlive the object.
 *
 * A guarded callback gets the object as its first argument. It does nothing once the object is
 * destroyed or its callbacks are disabled. Precondition: a `std::shared_ptr` owns the object. Not
 * thread safe.
 */
template <class Owner>
class callback_owner : public std::enable_shared_from_this<Owner> {
public:
    /** Makes all guarded callbacks do nothing, including those already scheduled. */
    void disable_callbacks() { callbacks_disabled_ = true; }

    [[nodiscard]] bool callbacks_disabled() const { return callbacks_disabled_; }

protected:
    /** Wraps `handler` to run only while the object exists and its callbacks are enabled. */
    template <class Handler>
    [[nodiscard]] auto guarded(Handler handler) {
        return [weak_self = this->weak_from_this(),
                handler = std::move(handler)](const auto&... values) {
            const auto owner = weak_self.lock();
            if (owner && !owner->callbacks_disabled()) {
                handler(*owner, values...);
            }
        };
    }

    /** Runs `step`, guarded, after a delay. Precondition: `loop` outlives its callbacks. */
    template <class Step>
    void run_after(event_loop& loop, time_ms delay_ms, Step step) {
        loop.after(delay_ms, guarded(std::move(step)));
    }

private:
    bool callbacks_disabled_ = false;
};

} // namespace fulmarworks::node
