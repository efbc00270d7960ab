// A request goes from a caller to the right adapter and version and back,
// plain and streamed; orders and lookups reach the plain service.
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
    check(plain.status == 200, "a plain completion is answered");
    check(plain.text.contains("version=2"), "by the version asked for");
    let streamed = f.stream(entry, "demo-key", "council-001", "hello", 8);
    check(streamed.status == 200 && streamed.whole, "a streamed completion is whole");
    check(streamed.text.contains("version=1"), "by the selected version");
    let found = f.lookup(entry, "demo-key", "roll-7");
    check(found.status == 200, "a lookup is answered");
}
let order = f.order("entry-1", "demo-key", "o-1", "{\"roll\":1}");
check(order.status == 201, "an order is taken");
let again = f.order("entry-2", "demo-key", "o-1", "{\"roll\":1}");
check(again.status == 201 && again.replayed && again.body == order.body, "a resend gets the same answer");
let other = f.order("entry-2", "demo-key", "o-1", "{\"roll\":2}");
check(other.status == 422 && other.outcome == "not-run", "another body under the key is refused");
let unknown = f.chat("entry-1", "wrong-key", "council-001", "hello", 8);
check(unknown.status == 401 && unknown.outcome == "not-run", "an unknown key is refused");
let steps = f.operate_json("explain " + f.chat("entry-1", "demo-key", "council-001", "why", 8).request);
check(steps.len() >= 4, "a request's decisions are explained");
check(!f.logs_contain("demo-key"), "no key is in a log");
check(f.violations().is_empty(), "no promise is broken: " + f.violations());
