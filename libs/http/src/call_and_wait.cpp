#include "http/http_client.h"

namespace fulmarworks {

http_answer call_and_wait(const http_call& call) {
    event_loop loop;
    http_answer answer;
    bool done = false;
    http_client client(loop);
    client.send(call, [&](const http_answer& a) {
        answer = a;
        done = true;
    });
    constexpr time_ms margin_ms = 1000;
    loop.run_until([&] { return done; }, call.timeout_ms + margin_ms);
    return answer;
}

} // namespace fulmarworks
