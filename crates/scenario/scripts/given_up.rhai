// Guards against eviction of an adapter that the engine still uses: the side process aborts
// answers that name a wrong adapter while the engine still decodes them. An adapter must stay
// resident until the engine has noticed the abort.
import "common" as common;
let f = fleet(#{ engines: 1, entry_extra: "weight_store:\n  loads_per_second: 100\n  burst: 50\n", store: "rate: 100\nburst: 50\nload_ms: 5\n", engine_extra: "step_ms: 120\n" });
common::publish(f, 1000000, 2000000);
let load = f.chat_load("demo-key", #{ interval_ms: 60, adapters: 5, tokens: 1 });
for round in 0..8 {
    f.faults("engine-1", #{ cross: 3 });
    f.stream("entry-1", "demo-key", `council-00${round % 5 + 1}@1`, `given up ${round}`, 40);
}
f.finish(load);
let unloads = 0;
for journal in f.journals("engine-") { unloads += journal.unloads; }
check(unloads > 5, "adapters were evicted during the load: " + unloads);
check(f.violations().is_empty(), "no violations: " + f.violations());
