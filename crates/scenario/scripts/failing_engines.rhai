// Guards against a retry storm and slow rejections while all engines are down.
import "common" as common;
let f = fleet(#{ engine_extra: "step_ms: 5\nrestart_ms: 60000\n" });
common::publish(f, 1000000, 2000000);
f.chat("entry-1", "demo-key", "council-001@1", "warm up", 2);
for engine in ["engine-1", "engine-2", "engine-3"] { f.faults(engine, #{ crash: true }); }
sleep_ms(300);
let load = f.chat_load("demo-key", #{ interval_ms: 20, adapters: 5, tokens: 8 });
sleep_ms(4000);
let records = f.finish(load);
print(common::statuses(records));
check(records.all(|r| r.status >= 500 && r.retry_after > 0), "each request is rejected with Retry-After");
let slow = records.filter(|r| r.elapsed_ms > 2000);
check(slow.is_empty(), "rejected within 2 s, except " + slow.len());
let runs = 0;
for journal in f.journals("engine-") { runs += journal.runs.len(); }
check(runs * 10 <= records.len() * 12 + 10, "at most 1.2 attempts per request: " + runs);
check(f.violations().is_empty(), "no violations: " + f.violations());
