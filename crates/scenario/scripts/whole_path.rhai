// End-to-end test without faults: completions, buffered and streamed, are answered by the
// requested adapter and version; orders and lookups reach the plain service.
let f = fleet();
f.operate_all([
    "create account council rate 100000 burst 200000",
    "issue key for council named k1 secret demo-key",
    "publish council-001 version 1 on base",
    "publish council-001 version 2 on base",
    "set route orders key non-idempotent interactive",
]);
print(f.operate("set route stock key idempotent interactive"));

for entry in ["entry-1", "entry-2"] {
    let plain = f.chat(entry, "demo-key", "council-001@2", "hello", 8);
    print(plain);
    check(plain.status == 200, "a buffered completion is answered");
    check(plain.text.contains("version=2"), "the requested version is used");
    let streamed = f.stream(entry, "demo-key", "council-001", "hello", 8);
    check(streamed.status == 200 && streamed.whole, "a streamed completion is complete");
    check(streamed.text.contains("version=1"), "the selected version is used");
    let found = f.lookup(entry, "demo-key", "roll-7");
    check(found.status == 200, "a lookup is answered");
}
let order = f.order("entry-1", "demo-key", "o-1", "{\"roll\":1}");
check(order.status == 201, "an order is accepted");
let again = f.order("entry-2", "demo-key", "o-1", "{\"roll\":1}");
check(again.status == 201 && again.replayed && again.body == order.body, "a retry gets the same answer");
let other = f.order("entry-2", "demo-key", "o-1", "{\"roll\":2}");
check(other.status == 422 && other.outcome == "not-run", "another body with the same idempotency key is rejected");
let unknown = f.chat("entry-1", "wrong-key", "council-001", "hello", 8);
check(unknown.status == 401 && unknown.outcome == "not-run", "an unknown key is rejected");
let steps = f.operate_json("explain " + f.chat("entry-1", "demo-key", "council-001", "why", 8).request);
check(steps.len() >= 4, "explain returns the decisions about a request");
check(!f.logs_contain("demo-key"), "no log contains the key");
check(f.violations().is_empty(), "no violations: " + f.violations());
