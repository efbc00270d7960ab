// An order is executed at most once despite killed and frozen processes, lost
// acknowledgements, delays and a log outage.
import "common" as common;
let f = fleet(#{ entries: 3, services: 2 });
common::publish(f, 1000000, 2000000);
let load = f.order_load("demo-key", 20);
sleep_ms(500);
f.faults("log", #{ lose_acks: 5 });
sleep_ms(500);
f.kill("entry-1");
sleep_ms(500);
f.restart("entry-1");
f.faults("service-1", #{ lose_acks: 2, delay_ms: 100 });
f.kill("side-101");
sleep_ms(500);
f.restart("side-101");
f.faults("log", #{ down: true });
sleep_ms(700);
let refused = f.order("entry-2", "demo-key", "in-outage", "{\"order\":\"in-outage\"}");
check(refused.status == 503 && refused.outcome == "not-run", "rejected during a log outage: " + refused);
check(refused.retry_after > 0 && refused.elapsed_ms < 1500, "rejected within 1.5 s with Retry-After");
check(f.lookup("entry-2", "demo-key", "roll-1").status == 200, "idempotent requests are served during the outage");
f.faults("log", #{});
f.faults("service-1", #{});
f.freeze("entry-3");
sleep_ms(1000);
f.thaw("entry-3");
sleep_ms(1000);
let records = f.finish(load);
print(common::statuses(records));
check(common::count(records, 201) * 2 > records.len(), "more than half of the orders succeed");

// Each order without a confirmation is retried through another instance.
let outcomes = #{ done: 0, unknown: 0, unsettled: 0 };
for r in records.filter(|r| r.status != 201) {
    let outcome = common::settle(f, "entry-2", r);
    outcomes[outcome] += 1;
}
print(outcomes);
check(outcomes.unsettled == 0, "every retried order has a final outcome");
check(common::settle(f, "entry-2", #{ key: "in-outage", sent: "{\"order\":\"in-outage\"}" }) == "done", "the rejected order succeeds on retry");
check(f.violations().is_empty(), "no violations: " + f.violations());
