// Two side processes of one engine: the older one is frozen, the newer one takes the lease
// over, and the older one resumes. The engine ignores fencing tokens, so only the lease
// keeps the older one from sending it commands.
import "common" as common;
let f = fleet(#{ engines: 1, engine_extra: "step_ms: 5\nfencing: ignore\n" });
common::publish(f, 1000000, 2000000);
let load = f.chat_load("demo-key", #{ interval_ms: 30, adapters: 5, tokens: 8 });
sleep_ms(800);
f.freeze("side-1");
f.add_second_side(9, "engine-1");
sleep_ms(5000);
let taken = f.chat("entry-1", "demo-key", "council-002@1", "taken over", 8);
check(taken.status == 200, "the second side process has taken over: " + taken);
f.thaw("side-1");
sleep_ms(2500);
let records = f.finish(load);
print(common::statuses(records));
let holders = f.operate_json("show holders where resource = server/engine-1 and released = no");
check(holders.len() > 0 && holders.all(|row| row.holder == "side-9"), "all instances see the same lease holder: " + holders);
let after = f.chat("entry-2", "demo-key", "council-003@2", "after", 8);
check(after.status == 200, "the server is still in use: " + after);
check(f.violations().is_empty(), "no violations: " + f.violations());
