// An accepted configuration is in force on all instances within 5 s and never reverts,
// despite concurrent operators, lost acknowledgements, outages, record expiry and restarts.
import "common" as common;
let f = fleet(#{ entries: 3 });
common::publish(f, 1000, 2000);
f.faults("log", #{ lose_acks: 1 });
let began = now_ms();
let printed = f.operate("set account council rate 3000 burst 6000");
check(printed.contains("in force on 7 of 7"), "a lost acknowledgement is resolved by reading the log: " + printed);
check(now_ms() - began < 5000, "in force within 5 s");

// Of concurrent changes only those based on the current revision are accepted; the other
// operators are asked to issue the command again.
for round in 1..=3 {
    let rates = [100, 200, 300, 400];
    let ended = f.race(rates.map(|rate| `set account council rate ${rate + round} burst 9000`));
    let won = ended.filter(|text| text.contains("accepted at revision"));
    check(won.len() >= 1, "at least one change is accepted: " + ended);
    check(ended.all(|text| text.contains("accepted at revision") || text.contains("issue the command again")), "each other operator is asked to try again: " + ended);
    let revisions = won.map(|text| text.split("revision ")[1].split(";")[0]);
    revisions.sort();
    revisions.dedup();
    check(revisions.len() == won.len(), "each accepted change has its own revision: " + ended);
}

// An instance without a connection to the log receives the configuration from its peers.
f.cut("entry-3", "log");
printed = f.operate("set account council rate 4000 burst 8000");
check(printed.contains("in force on 7 of 7"), "also in force on the disconnected instance: " + printed);
f.mend("entry-3", "log");

// An instance that starts after old records have expired still receives the full state.
f.faults("log", #{ expire_to: 1 });
f.kill("entry-1");
f.restart("entry-1");
sleep_ms(1500);
check(f.status("entry-1", "/health/ready") == 200, "the instance is ready after old records expired");
let rows = f.operate_json("show configuration where in_force = no");
check(rows.len() == 0, "in force everywhere: " + rows);

// During a log outage changes are rejected and the configuration stays.
f.faults("log", #{ down: true });
let refused = false;
try { f.operate("set account council rate 1 burst 1"); } catch (error) { refused = `${error}`.contains("nothing was changed"); }
check(refused, "a change is rejected during the outage");
let accounts = f.operate_json("show accounts");
check(accounts[0].rate == 4000, "the configuration is available during the outage: " + accounts);
f.faults("log", #{});
check(f.operate_json("show accounts")[0].rate == 4000, "the configuration is unchanged after the outage");
f.operate("set account council rate 5000 burst 10000");
check(f.operate_json("show accounts")[0].rate == 5000, "changes are accepted after the outage");
