// A process that is slow at any step of its graceful stop interrupts and rejects no request: it is
// suspended, or cut off from the log, for a while at a moment after the stop signal.
import "common" as common;
let f = fleet(#{ entries: 3, services: 2 });
common::publish(f, 1000000, 2000000);
let chats = f.chat_load("demo-key", #{ interval_ms: 20, adapters: 5, tokens: 20 });
let streams = f.chat_load("demo-key", #{ interval_ms: 40, adapters: 5, tokens: 40, stream: true });
let orders = f.order_load("demo-key", 40);
sleep_ms(800);
let records = [];
for step in [
    // The notice to the load balancer, the drain, the releases and the last replies.
    #{ name: "entry-1", after_ms: 100, pause_ms: 500 },
    #{ name: "side-1", after_ms: 520, pause_ms: 200 },
    #{ name: "entry-2", after_ms: 520, pause_ms: 1000 },
    #{ name: "side-101", after_ms: 550, pause_ms: 1000 },
    #{ name: "entry-3", after_ms: 600, pause_ms: 2000 },
    #{ name: "side-2", after_ms: 300, pause_ms: 2000 },
    #{ name: "entry-1", after_ms: 700, pause_ms: 200 },
    #{ name: "side-102", after_ms: 500, pause_ms: 500 },
    // Its release does not reach the log at once.
    #{ name: "entry-2", after_ms: 300, cut_ms: 1500 },
    #{ name: "side-101", after_ms: 300, cut_ms: 1500 },
] {
    f.terminate(step.name);
    sleep_ms(step.after_ms);
    if "cut_ms" in step {
        f.cut(step.name, "log");
        sleep_ms(step.cut_ms);
        f.mend(step.name, "log");
    } else {
        f.freeze(step.name);
        sleep_ms(step.pause_ms);
        f.thaw(step.name);
    }
    check(f.stop(step.name) == 0, `${step.name} stops gracefully`);
    f.restart(step.name);
    sleep_ms(1200);
}
records += f.finish(chats);
records += f.finish(streams);
records += f.finish(orders);
print(common::statuses(records));
let cut = records.filter(|r| r.status != 200 && r.status != 201 || !r.whole);
check(cut.is_empty(), "no request is interrupted or rejected: " + cut.len() + " of " + records.len() + " " + cut);
check(f.violations().is_empty(), "no violations: " + f.violations());
