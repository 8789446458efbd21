#pragma once

#include <cstddef>
#include <memory>

namespace fulmarworks {

class client_connection;

/**
 * Account of the memory that all servers of a process hold for their clients: heads and bodies
 * under way, bytes sent ahead, open requests, and responses that clients haven't taken.
 *
 * When the account exceeds its limit, connections are closed, those first that have held the most
 * bytes for the longest time; see load_shedding.h. Requests that are being processed aren't given
 * up, so the account can exceed the limit by what a single read adds.
 *
 * Not thread safe; all servers that share an account run on one event loop.
 */
class client_memory {
public:
    /** `limit_bytes` must be above 0. */
    explicit client_memory(std::size_t limit_bytes);
    ~client_memory();
    client_memory(const client_memory&) = delete;
    client_memory& operator=(const client_memory&) = delete;

    [[nodiscard]] std::size_t used_bytes() const;
    [[nodiscard]] std::size_t limit_bytes() const;

    /** For servers: adds and removes connections. */
    void join(client_connection& connection);
    void leave(client_connection& connection);

    /** For servers: records that a connection holds `after` instead of `before` bytes. Closes other
     * connections if the limit is exceeded; returns false if that doesn't suffice, so that
     * `connection` itself is to be given up. */
    [[nodiscard]] bool change(client_connection& connection, std::size_t before, std::size_t after);

    /** For servers: adds and removes bytes that no connection holds any more. */
    void hold(std::size_t bytes);
    void release(std::size_t bytes);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
