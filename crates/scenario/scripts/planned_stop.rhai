// A graceful stop interrupts no request, and a drained backend server gets no new requests
// after 3 s.
import "common" as common;
let f = fleet(#{ entries: 3, services: 2 });
common::publish(f, 1000000, 2000000);
let chats = f.chat_load("demo-key", #{ interval_ms: 20, adapters: 5, tokens: 20 });
let streams = f.chat_load("demo-key", #{ interval_ms: 40, adapters: 5, tokens: 40, stream: true });
let orders = f.order_load("demo-key", 40);
sleep_ms(800);
for name in ["entry-1", "side-1", "entry-2", "side-2", "side-101", "entry-3", "side-3", "side-102"] {
    check(f.stop(name) == 0, `${name} stops gracefully`);
    f.restart(name);
    sleep_ms(1200);
}
f.operate("drain server engine-1");
sleep_ms(3000);
let before = f.page("engine-1", "/journal").runs.len();
sleep_ms(1000);
check(f.page("engine-1", "/journal").runs.len() == before, "a drained server gets no new requests");
f.operate("restore server engine-1");
sleep_ms(500);
let records = f.finish(chats);
records += f.finish(streams);
records += f.finish(orders);
print(common::statuses(records));
let cut = records.filter(|r| r.status != 200 && r.status != 201 || !r.whole);
check(cut.is_empty(), "no request is interrupted or rejected: " + cut.len() + " of " + records.len() + " " + cut);
check(f.violations().is_empty(), "no violations: " + f.violations());
