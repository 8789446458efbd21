#pragma once

#include "http/event_loop.h"

#include <memory>
#include <utility>

namespace fulmarworks::node {

/**
 * Base of an object that hands callbacks to calls which may outlive it.
 *
 * A wrapped callback gets the object as its first argument. It is skipped once the object is gone
 * or has ended its callbacks. Objects are held by `std::shared_ptr`. Not thread safe.
 */
template <class Owner>
class callback_owner : public std::enable_shared_from_this<Owner> {
public:
    /** Skips all callbacks from now on, also those that wait already. */
    void end_callbacks() { ended_ = true; }

    [[nodiscard]] bool callbacks_ended() const { return ended_; }

protected:
    template <class Handler>
    [[nodiscard]] auto guarded(Handler handler) {
        return
            [self = this->weak_from_this(), handler = std::move(handler)](const auto&... values) {
                const auto owner = self.lock();
                if (owner && !owner->callbacks_ended()) {
                    handler(*owner, values...);
                }
            };
    }

    /** Runs `step` after a pause. Precondition: `loop` outlives its callbacks. */
    template <class Step>
    void later(event_loop& loop, time_ms pause_ms, Step step) {
        loop.after(pause_ms, guarded(std::move(step)));
    }

private:
    bool ended_ = false;
};

} // namespace fulmarworks::node
