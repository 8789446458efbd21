#include "http/client_memory.h"

#include "client_connection.h"
#include "load_shedding.h"

#include <vector>

namespace fulmarworks {

namespace {

/** Share of the limit, 1/8, that is released beyond the excess, so that not every read sheds. */
constexpr std::size_t released_part = 8;

} // namespace

struct client_memory::impl {
    std::size_t limit_bytes = 0;
    std::size_t used_bytes = 0;
    std::vector<client_connection*> connections;

    void shed(const client_connection& protected_connection) {
        std::vector<connection_load> loads;
        std::vector<client_connection*> candidates;
        for (client_connection* c : connections) {
            if (c != &protected_connection && c->load().bytes > 0) {
                candidates.push_back(c);
                loads.push_back(c->load());
            }
        }
        const std::size_t excess = used_bytes - limit_bytes + limit_bytes / released_part;
        for (const std::size_t i : choose_for_memory(loads, excess, monotonic_now())) {
            candidates[i]->give_up(client_limit::memory);
        }
    }
};

client_memory::client_memory(std::size_t limit_bytes) : impl_(std::make_unique<impl>()) {
    impl_->limit_bytes = limit_bytes;
}

client_memory::~client_memory() = default;

std::size_t client_memory::used_bytes() const {
    return impl_->used_bytes;
}

std::size_t client_memory::limit_bytes() const {
    return impl_->limit_bytes;
}

void client_memory::hold(std::size_t bytes) {
    impl_->used_bytes += bytes;
}

void client_memory::release(std::size_t bytes) {
    impl_->used_bytes -= bytes;
}

void client_memory::join(client_connection& connection) {
    impl_->connections.push_back(&connection);
}

void client_memory::leave(client_connection& connection) {
    impl_->used_bytes -= connection.load().bytes;
    std::erase(impl_->connections, &connection);
}

bool client_memory::change(client_connection& connection, std::size_t before, std::size_t after) {
    impl_->used_bytes = impl_->used_bytes - before + after;
    if (after <= before || impl_->used_bytes <= impl_->limit_bytes) {
        return true;
    }
    impl_->shed(connection);
    return impl_->used_bytes <= impl_->limit_bytes;
}

} // namespace fulmarworks
