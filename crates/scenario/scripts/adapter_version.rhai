// Guards against answers from a wrong adapter or version while versions change, loads
// fail, engines restart without their adapters, and answers are mixed up or truncated.
import "common" as common;
let f = fleet();
common::publish(f, 1000000, 2000000);
let load = f.chat_load("demo-key", #{ interval_ms: 15, adapters: 5, tokens: 8 });
let streams = f.chat_load("demo-key", #{ interval_ms: 25, adapters: 5, tokens: 12, stream: true });
for round in 3..=5 {
    f.operate(`publish council-001 version ${round} on base`);
    f.operate(`select council-001 version ${round}`);
    let answer = f.chat("entry-1", "demo-key", "council-001", `round ${round}`, 6);
    check(answer.text.contains(`version=${round} `), "the selected version is used: " + answer.text);
    f.faults("engine-1", #{ fail_loads: 2, truncate: 2 });
    f.faults("engine-2", #{ cross: 2, cold: true });
    f.faults("engine-3", #{ crash: round == 4 });
    sleep_ms(700);
}
let records = f.finish(load);
records += f.finish(streams);
print(common::statuses(records));
check(records.len() > 150, "enough calls were sent: " + records.len());
check(common::count(records, 200) * 10 > records.len() * 9, "at least 90% are answered");
check(f.violations().is_empty(), "no violations: " + f.violations());
