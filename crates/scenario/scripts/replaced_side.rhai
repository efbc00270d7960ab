// A side process is frozen, resumed, and later killed and restarted; it must regain the
// lease of its server each time without evicting an adapter in use. The engine ignores
// fencing tokens, so only the leases protect it.
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
check(after.status == 200, "the server is in use again: " + after);
check(f.violations().is_empty(), "no violations: " + f.violations());
