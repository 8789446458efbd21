#include "crowd.h"

#include "http/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace fulmarworks::crowd {

namespace {

constexpr time_ms quiet_ms = 1000;
/** The repeated text is extended to this size, so that one call sends many copies. */
constexpr std::size_t block_bytes = 64 * 1024;

std::string repeat_to_block(const std::string& text) {
    std::string block = text;
    while (!text.empty() && block.size() < block_bytes) {
        block += text;
    }
    return block;
}

} // namespace

crowd_plan flood(const std::string& address, int clients, std::string first, std::string repeated) {
    crowd_plan plan;
    plan.address = address;
    plan.clients = clients;
    plan.first = std::move(first);
    plan.repeated = std::move(repeated);
    plan.max_bytes = flood_bytes / static_cast<std::size_t>(clients);
    return plan;
}

crowd_plan held_connections(const std::string& address, std::string first) {
    constexpr int excessive_connections = 600;
    crowd_plan plan;
    plan.address = address;
    plan.clients = excessive_connections;
    plan.first = std::move(first);
    plan.max_bytes = plan.first.size() + 1;
    plan.max_connections = 2 * excessive_connections;
    return plan;
}

hostile_crowd::hostile_crowd(crowd_plan plan) : plan_(std::move(plan)) {
    plan_.repeated = repeat_to_block(plan_.repeated);
    clients_.resize(static_cast<std::size_t>(plan_.clients));
    last_progress_at_ = monotonic_now();
}

hostile_crowd::~hostile_crowd() {
    for (auto& c : clients_) {
        close(c);
    }
}

void hostile_crowd::open(client& c) {
    const socket_address where = parse_address(plan_.address).value();
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &to.sin_addr);
    c.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    c.sent_on_connection = 0;
    ++connections_opened_;
    last_progress_at_ = monotonic_now();
    if (connect(c.descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS) {
        close(c);
    }
}

void hostile_crowd::close(client& c) {
    if (c.descriptor >= 0) {
        ::close(c.descriptor);
        c.descriptor = -1;
    }
}

bool hostile_crowd::read_available(client& c) const {
    char buffer[4096];
    const int flags = MSG_DONTWAIT | (plan_.reads ? 0 : MSG_PEEK);
    ssize_t size = 0;
    do {
        size = recv(c.descriptor, buffer, sizeof buffer, flags);
    } while (size > 0 && plan_.reads);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

std::string_view hostile_crowd::next_bytes(const client& c) const {
    std::string_view text = plan_.first;
    if (c.sent_on_connection < text.size()) {
        text.remove_prefix(c.sent_on_connection);
    } else if (!plan_.repeated.empty()) {
        text = plan_.repeated;
        text.remove_prefix((c.sent_on_connection - plan_.first.size()) % plan_.repeated.size());
    } else {
        text = {};
    }
    if (plan_.bytes_per_connection > 0) {
        text = text.substr(0, plan_.bytes_per_connection - c.sent_on_connection);
    }
    return text.substr(0, plan_.max_bytes - std::min(plan_.max_bytes, c.sent));
}

void hostile_crowd::send_available(client& c) {
    std::size_t left = plan_.bytes_per_step;
    while (left > 0) {
        const std::string_view text = next_bytes(c).substr(0, left);
        if (text.empty()) {
            return;
        }
        const ssize_t size =
            send(c.descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size <= 0) {
            if (errno != EAGAIN && errno != ENOTCONN) {
                close(c);
            }
            return;
        }
        const auto sent = static_cast<std::size_t>(size);
        c.sent += sent;
        c.sent_on_connection += sent;
        bytes_sent_ += sent;
        left -= sent;
        last_progress_at_ = monotonic_now();
    }
}

void hostile_crowd::advance() {
    for (auto& c : clients_) {
        if (c.descriptor < 0) {
            const bool first = c.sent == 0 && connections_opened_ < plan_.clients;
            const bool again = plan_.reconnects && c.sent < plan_.max_bytes &&
                               connections_opened_ < plan_.max_connections;
            if (first || again) {
                open(c);
            }
        } else if (!read_available(c) || (plan_.bytes_per_connection > 0 &&
                                          c.sent_on_connection >= plan_.bytes_per_connection)) {
            close(c);
        }
        if (c.descriptor >= 0) {
            send_available(c);
        }
    }
}

bool hostile_crowd::is_quiet() const {
    return monotonic_now() - last_progress_at_ >= quiet_ms;
}

int hostile_crowd::connections_open() const {
    return static_cast<int>(std::count_if(clients_.begin(), clients_.end(),
                                          [](const auto& c) { return c.descriptor >= 0; }));
}

} // namespace fulmarworks::crowd
