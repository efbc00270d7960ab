// A withdrawn key stops working within seconds: on every instance, for running
// streams, on an instance that is cut off, and on one that starts in an outage.
import "common" as common;
let f = fleet(#{ entries: 3, engine_extra: "step_ms: 50\n" });
common::publish(f, 1000000, 2000000);
f.operate("issue key for council named k2 secret second-key");
check(f.chat("entry-1", "demo-key", "council-001", "hello", 2).status == 200, "the key works");

// Streams of 20 s run when the key is withdrawn.
let streams = f.chat_load("demo-key", #{ interval_ms: 300, adapters: 1, tokens: 400, stream: true });
sleep_ms(1500);
f.cut("entry-3", "log");
let withdrawn = now_ms();
f.operate("withdraw key k1");
let records = f.finish(streams);
check(now_ms() - withdrawn < 5000, "running streams end within 5 s");
let cut = records.filter(|r| r.status == 200);
check(cut.len() >= 3, "streams were running");
for r in cut {
    check(!r.whole && r.body.contains("withdrawn"), "each is ended with an explicit error: " + r.body);
}
for entry in ["entry-1", "entry-2", "entry-3"] {
    let answer = f.chat(entry, "demo-key", "council-001", "hello", 2);
    check(answer.status == 401 && answer.outcome == "not-run", `${entry} refuses the key`);
    check(f.chat(entry, "second-key", "council-001", "hello", 2).status == 200, `${entry} takes the other`);
}

// An instance that starts while the log is down learns it from its peers.
f.faults("log", #{ down: true });
f.kill("entry-2");
f.restart("entry-2");
sleep_ms(2500);
check(f.status("entry-2", "/health/ready") == 200, "it is ready without the log");
check(f.chat("entry-2", "demo-key", "council-001", "hello", 2).status == 401, "it refuses the key");

// Cut from log, list and peers, an instance refuses keyed work.
f.cut("entry-3", "list");
f.freeze("entry-1");
f.freeze("entry-2");
sleep_ms(3500);
let alone = f.chat("entry-3", "second-key", "council-001", "hello", 2);
check(alone.status == 503 && alone.outcome == "not-run" && alone.retry_after > 0, "it refuses: " + alone);
f.thaw("entry-1");
f.thaw("entry-2");
f.faults("log", #{});
f.mend("entry-3", "log");
f.mend("entry-3", "list");
sleep_ms(6000);
check(f.chat("entry-3", "second-key", "council-001", "hello", 2).status == 200, "it works again");
check(!f.logs_contain("demo-key") && !f.logs_contain("second-key"), "no key is in a log");
check(f.violations().is_empty(), "no promise is broken: " + f.violations());
