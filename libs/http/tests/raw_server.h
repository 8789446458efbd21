#pragma once

#include <string>
#include <vector>

/**
 * Server on plain sockets for tests of clients. It accepts, reads and answers only when it is told
 * to, so that a test decides what has arrived at the client while that isn't run. Answers all
 * requests with status 200 and no body. Not thread safe.
 */
class raw_server {
public:
    /** Listens on a free loopback port; throws std::runtime_error if it can't. */
    raw_server();
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

    /** Accepts connections and reads what has arrived; returns the number of requests so far. */
    int receive_requests();

    /** Answers all requests that have no answer yet. */
    void answer_all();

    /** Sends a text on each open connection. */
    void send_to_all(const std::string& text);

    /** Returns the number of accepted connections that the client has not closed. */
    int open_connections();

private:
    struct connection {
        int descriptor = -1;
        std::string unread;
        int unanswered = 0;
    };

    void receive(connection& c);

    int listener_ = -1;
    std::string address_;
    std::vector<connection> connections_;
    int requests_ = 0;
};
