// A withdrawn key is rejected within 5 s on every instance, also for running streams, on
// an instance without a connection to the log, and on one that starts during a log outage.
import "common" as common;
let f = fleet(#{ entries: 3, engine_extra: "step_ms: 50\n" });
common::publish(f, 1000000, 2000000);
f.operate("issue key for council named k2 secret second-key");
check(f.chat("entry-1", "demo-key", "council-001", "hello", 2).status == 200, "the key is accepted");

// The key is withdrawn while streams of 20 s run.
let streams = f.chat_load("demo-key", #{ interval_ms: 300, adapters: 1, tokens: 400, stream: true });
sleep_ms(1500);
f.cut("entry-3", "log");
let withdrawn = now_ms();
f.operate("withdraw key k1");
let records = f.finish(streams);
check(now_ms() - withdrawn < 5000, "running streams end within 5 s");
let cut = records.filter(|r| r.status == 200);
check(cut.len() >= 3, "at least three streams were running");
for r in cut {
    check(!r.whole && r.body.contains("withdrawn"), "each stream ends with an explicit error: " + r.body);
}
for entry in ["entry-1", "entry-2", "entry-3"] {
    let answer = f.chat(entry, "demo-key", "council-001", "hello", 2);
    check(answer.status == 401 && answer.outcome == "not-run", `${entry} rejects the withdrawn key`);
    check(f.chat(entry, "second-key", "council-001", "hello", 2).status == 200, `${entry} accepts the other key`);
}

// An instance that starts during a log outage receives the withdrawal from its peers.
f.faults("log", #{ down: true });
f.kill("entry-2");
f.restart("entry-2");
sleep_ms(2500);
check(f.status("entry-2", "/health/ready") == 200, "the instance is ready without the log");
check(f.chat("entry-2", "demo-key", "council-001", "hello", 2).status == 401, "the instance rejects the withdrawn key");

// An instance without log, list and peers rejects requests with a key, since it cannot
// tell whether the key was withdrawn.
f.cut("entry-3", "list");
f.freeze("entry-1");
f.freeze("entry-2");
sleep_ms(3500);
let alone = f.chat("entry-3", "second-key", "council-001", "hello", 2);
check(alone.status == 503 && alone.outcome == "not-run" && alone.retry_after > 0, "the isolated instance rejects the request: " + alone);
f.thaw("entry-1");
f.thaw("entry-2");
f.faults("log", #{});
f.mend("entry-3", "log");
f.mend("entry-3", "list");
sleep_ms(6000);
check(f.chat("entry-3", "second-key", "council-001", "hello", 2).status == 200, "the instance serves requests after the connections are restored");
check(!f.logs_contain("demo-key") && !f.logs_contain("second-key"), "no log contains a key");
check(f.violations().is_empty(), "no violations: " + f.violations());
