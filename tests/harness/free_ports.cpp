#include "free_ports.h"

#include <arpa/inet.h>
#include <cstdint>
#include <sys/socket.h>
#include <unistd.h>

namespace fulmarworks {

namespace {

constexpr int lowest_port = 10000;
constexpr int port_range = 20000;

bool is_free_port(int port) {
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a = {};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(s, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    close(s);
    return free;
}

} // namespace

int find_free_ports(int count) {
    static int next = lowest_port + (getpid() * 131) % port_range;
    int found = 0;
    while (found < count) {
        if (next >= lowest_port + port_range) {
            next = lowest_port;
            found = 0;
        }
        found = is_free_port(next) ? found + 1 : 0;
        ++next;
    }
    return next - count;
}

} // namespace fulmarworks
