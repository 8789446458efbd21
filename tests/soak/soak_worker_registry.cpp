#include "soak_worker.h"

#include <algorithm>

namespace fulmarworks::soak {

void soak_worker::heartbeat() {
    last_heartbeat_at_ = monotonic_now();
    json entry = {{"service", "pool"},
                  {"address", address_},
                  {"zone", "z1"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", draining_ ? "draining" : "ready"},
                  {"capacity",
                   {{"cpu", capacity_.cpu_millis},
                    {"memMb", capacity_.memory_mb},
                    {"gpu", capacity_.accelerators}}},
                  {"labels", {"a", rack_}},
                  {"born", started_wall_},
                  {"clockMs", clock()},
                  {"sequence", ++sequence_}};
    if (draining_) {
        entry["remainingMs"] = std::max<time_ms>(0, announced_leave_at_ - last_heartbeat_at_);
    }
    context_.store.put("keyed.servers", id_, entry.dump());
}

void soak_worker::drain(time_ms remaining_ms, time_ms linger_ms) {
    draining_ = true;
    announced_leave_at_ = monotonic_now() + remaining_ms;
    leave_at_ = announced_leave_at_ + linger_ms;
    heartbeat();
    context_.checker.drain_accepted(id_);
}

void soak_worker::rejoin() {
    if (!draining_) {
        return;
    }
    draining_ = false;
    has_left_ = false;
    context_.checker.drain_over(id_);
    restart();
}

} // namespace fulmarworks::soak
