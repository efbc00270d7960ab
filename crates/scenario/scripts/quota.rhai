// No account uses more than its rate and burst across all instances while lease holders
// are killed, frozen and resumed; an account within its rate is not rejected.
import "common" as common;
let f = fleet(#{ entries: 3 });
common::publish(f, 400, 800);
f.operate("create account steady rate 4000 burst 8000");
f.operate("issue key for steady named k3 secret steady-key");
sleep_ms(300);
let began = now_ms();
let flood = f.chat_load("demo-key", #{ interval_ms: 5, adapters: 3, tokens: 8 });
sleep_ms(1000);
f.freeze("entry-2");
sleep_ms(2500);
f.thaw("entry-2");
f.kill("entry-1");
sleep_ms(2500);
f.restart("entry-1");
f.faults("list", #{ down: true });
sleep_ms(1500);
f.faults("list", #{});
f.faults("log", #{ down: true });
sleep_ms(1500);
f.faults("log", #{});
sleep_ms(8000);
let records = f.finish(flood);
let seconds = (now_ms() - began) / 1000.0;
let used = 0;
for r in records { if r.status == 200 { used += r.tokens; } }
print(common::statuses(records));
print(`used ${used} tokens in ${seconds} s; allowed ${800.0 + 400.0 * seconds}`);
check(used.to_float() <= 800.0 + 400.0 * seconds, "usage is within burst and rate");
// An account this small has one shard. The frozen and the killed holder each make it
// unavailable for up to twice the takeover time (1.5 s) plus the list's expiry (0.7 s), its
// lag (0.3 s) and the polls (0.3 s).
let outage = 2.0 * (2.0 * 1.5 + 0.7 + 0.3 + 0.3);
check(used.to_float() >= 400.0 * (seconds - outage), "the full rate is served except during takeovers");

// With all instances up, an account within its rate gets no rejection.
sleep_ms(3000);
let steady = f.chat_load("steady-key", #{ interval_ms: 20, adapters: 3, tokens: 8 });
sleep_ms(3000);
let records = f.finish(steady);
print(common::statuses(records));
check(records.all(|r| r.status == 200), "no request within the rate is rejected");
check(f.violations().is_empty(), "no violations: " + f.violations());
