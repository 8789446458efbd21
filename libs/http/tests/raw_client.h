#pragma once

#include <string>
#include <string_view>

/** Client on a plain socket for tests of servers. Not thread safe. */
class raw_client {
public:
    /** Connects to IP:PORT; throws std::runtime_error if that fails. The system chooses the size of
     * the receive buffer if it is 0. */
    explicit raw_client(const std::string& address, int receive_buffer_bytes = 0);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    /** Sends what the socket takes now; returns the number of bytes. */
    std::size_t send(std::string_view text) const;

    /** Ends the sending direction only. */
    void finish_sending() const;

    /** Reads what has arrived and returns everything that was received so far. */
    const std::string& receive();

    /** Returns whether the server has closed the connection. Reads what has arrived. */
    bool is_closed();

private:
    int descriptor_ = -1;
    std::string received_;
    bool closed_ = false;
};
