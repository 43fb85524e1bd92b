/// Sample 1: the fleet-wide rate limiter by itself. Two instances share the token bucket of one
/// customer. Function calls replace the messages between the instances and the bucket's owner.

#include <heathergate/limits/limits.h>

#include <iostream>

using namespace heathergate;
using namespace std::chrono_literals;

auto main() -> int
{
    const CustomerId customer("pines");
    const limits::Limit limit{2 * limits::kOneToken, 3 * limits::kOneToken, 1};
    limits::BucketLedger owner;
    limits::AllowanceClient first(InstanceId("first"), 1);
    limits::AllowanceClient second(InstanceId("second"), 2);
    const TimePoint start(1h);

    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
        const auto now = start + i * 50ms;
        auto &client = i % 2 == 0 ? first : second;
        // A request arrives at one instance and waits until the owner has granted an allowance.
        client.setWaiting(customer, limit, 1);
        if (const auto request = client.makeRequest(now, [](const auto &) { return true; }))
            client.receive(now, owner.apply(now - start, *request));
        if (client.tryAdmit(now, customer))
            ++admitted;
        client.setWaiting(customer, limit, 0);
    }
    std::cout << "40 requests in 2 s, rate 2/s, burst 3: " << admitted << " admitted\n";
    return admitted <= 3 + 2 * 2 ? 0 : 1;
}
