// A side process is paused, another one takes its server over, and the paused
// one comes back; the engine ignores fencing numbers.
import "common" as common;
let f = fleet(#{ engines: 1, engine_extra: "step_ms: 5\nfencing: ignore\n" });
common::publish(f, 1000000, 2000000);
let load = f.chat_load("demo-key", #{ interval_ms: 30, adapters: 5, tokens: 8 });
sleep_ms(500);
f.freeze("side-1");
sleep_ms(2500);
f.thaw("side-1");
sleep_ms(4500);
f.kill("side-1");
f.restart("side-1");
sleep_ms(5000);
let records = f.finish(load);
print(common::statuses(records));
let after = f.chat("entry-1", "demo-key", "council-003@2", "after", 8);
check(after.status == 200, "the server is served again: " + after);
check(f.violations().is_empty(), "no promise is broken: " + f.violations());
