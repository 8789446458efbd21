#include "raw_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

raw_server::raw_server() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    constexpr int backlog = 1024;
    sockaddr_in where = {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    auto* generic = reinterpret_cast<sockaddr*>(&where);
    if (bind(listener_, generic, size) != 0 || listen(listener_, backlog) != 0 ||
        getsockname(listener_, generic, &size) != 0) {
        throw std::runtime_error("cannot listen on a loopback port");
    }
    address_ = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
}

raw_server::~raw_server() {
    for (const auto& c : connections_) {
        close(c.descriptor);
    }
    close(listener_);
}

int raw_server::receive_requests() {
    for (;;) {
        const int accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted < 0) {
            break;
        }
        connections_.push_back({accepted, "", 0});
    }
    std::for_each(connections_.begin(), connections_.end(), [this](auto& c) { receive(c); });
    std::erase_if(connections_, [](const auto& c) { return c.descriptor < 0; });
    return requests_;
}

void raw_server::receive(connection& c) {
    static const std::string end_of_headers = "\r\n\r\n";
    std::string buffer(4096, '\0');
    for (;;) {
        const ssize_t size = recv(c.descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            const bool waits = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            if (!waits) {
                close(c.descriptor);
                c.descriptor = -1;
            }
            return;
        }
        c.unread.append(buffer, 0, static_cast<std::size_t>(size));
        for (auto end = c.unread.find(end_of_headers); end != std::string::npos;
             end = c.unread.find(end_of_headers)) {
            c.unread.erase(0, end + end_of_headers.size());
            ++c.unanswered;
            ++requests_;
        }
    }
}

void raw_server::answer_all() {
    static const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (auto& c : connections_) {
        for (; c.unanswered > 0; --c.unanswered) {
            send(c.descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
    }
}

void raw_server::send_to_all(const std::string& text) {
    for (const auto& c : connections_) {
        send(c.descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    }
}

int raw_server::open_connections() {
    receive_requests();
    return static_cast<int>(connections_.size());
}
