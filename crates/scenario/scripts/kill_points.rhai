// Guards against orders executed twice or lost when an entry instance is killed at any
// step: before the ledger record, between the record and the call of the service, while
// the service runs, and before the answer is recorded. The caller retries through the
// other instance.
import "common" as common;
let f = fleet(#{ entries: 2, engines: 1 });
common::publish(f, 1000000, 2000000);
f.order("entry-2", "demo-key", "warm-up", "{\"order\":\"warm-up\"}");
let outcomes = #{ done: 0, unknown: 0, unsettled: 0 };
for step in 0..12 {
    f.faults("log", #{ delay_ms: 25 });
    f.faults("service-1", #{ delay_ms: 60 });
    let orders = f.order_load("demo-key", 60000);
    // Gives the load's balancer time for its first health check.
    sleep_ms(110 + step * 20);
    f.kill("entry-1");
    f.faults("log", #{});
    f.faults("service-1", #{});
    let records = f.finish(orders);
    for r in records.filter(|r| r.status != 201) {
        outcomes[common::settle(f, "entry-2", r)] += 1;
    }
    f.restart("entry-1");
    sleep_ms(700);
}
print(outcomes);
check(outcomes.unsettled == 0, "every retried order has a final outcome");
check(f.violations().is_empty(), "no violations: " + f.violations());
