// During outages of the log, the instance list and the weight store, one after the other
// and overlapping, idempotent requests are served, rates and keys are checked, and no
// answer is wrong.
import "common" as common;
let f = fleet(#{ entries: 3 });
common::publish(f, 1000000, 2000000);
for adapter in 1..=5 { f.chat("entry-1", "demo-key", `council-00${adapter}@1`, "warm up", 2); }
let load = f.chat_load("demo-key", #{ interval_ms: 25, adapters: 5, tokens: 8 });
f.faults("log", #{ down: true });
sleep_ms(4000);
f.faults("list", #{ down: true });
f.faults("log", #{});
sleep_ms(4000);
f.faults("list", #{});
f.faults("store", #{ down: true });
sleep_ms(2000);
f.faults("store", #{});
sleep_ms(1000);
let records = f.finish(load);
print(common::statuses(records));
check(common::count(records, 200) * 100 >= records.len() * 95, "at least 95% are answered during the outages");
check(records.all(|r| r.status == 200 || r.retry_after > 0), "each rejection has Retry-After");
check(f.violations().is_empty(), "no violations: " + f.violations());
