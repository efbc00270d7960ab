// A poison request, which crashes every engine that runs it and is retried by its caller,
// crashes at most two engines; other requests are answered.
import "common" as common;
let f = fleet(#{ engine_extra: "step_ms: 5\nrestart_ms: 300\n" });
common::publish(f, 1000000, 2000000);
for engine in ["engine-1", "engine-2", "engine-3"] { f.faults(engine, #{ crash_on: "poison" }); }
let load = f.chat_load("demo-key", #{ interval_ms: 20, adapters: 5, tokens: 8 });
sleep_ms(500);
let answers = [];
for turn in 0..6 {
    let entry = if turn % 2 == 0 { "entry-1" } else { "entry-2" };
    answers.push(f.chat(entry, "demo-key", "council-001@1", "poison", 8));
}
sleep_ms(1500);
let records = f.finish(load);
print(common::statuses(records));
print(common::statuses(answers));
let crashes = 0;
for journal in f.journals("engine-") { crashes += journal.crashes; }
check(crashes <= 2, "at most two engines crash: " + crashes);
let last = answers[5];
check(last.status == 422 && last.outcome == "not-run" && last.retry_after > 0, "the poison request is rejected: " + last);
check(last.elapsed_ms < 200, "rejected within 200 ms");
common::explain(f, records);
check(common::count(records, 200) * 100 >= records.len() * 99, "at least 99% of the other requests are answered");
check(f.violations().is_empty(), "no violations: " + f.violations());
