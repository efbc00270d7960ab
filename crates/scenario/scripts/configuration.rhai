// An accepted configuration is in force everywhere within seconds and never
// reverts: over races, lost acknowledgements, outages, expiry and restarts.
import "common" as common;
let f = fleet(#{ entries: 3 });
common::publish(f, 1000, 2000);
f.faults("log", #{ lose_acks: 1 });
let began = now_ms();
let printed = f.operate("set account council rate 3000 burst 6000");
check(printed.contains("in force on 7 of 7"), "a lost answer is settled by reading back: " + printed);
check(now_ms() - began < 5000, "within 5 s");

// Of racing operators one wins; the others are told to look again.
for round in 1..=3 {
    let rates = [100, 200, 300, 400];
    let ended = f.race(rates.map(|rate| `set account council rate ${rate + round} burst 9000`));
    let won = ended.filter(|text| text.contains("accepted at revision"));
    check(won.len() >= 1, "somebody wins: " + ended);
    check(ended.all(|text| text.contains("accepted at revision") || text.contains("issue the command again")), "the others are told: " + ended);
    let revisions = won.map(|text| text.split("revision ")[1].split(";")[0]);
    revisions.sort();
    revisions.dedup();
    check(revisions.len() == won.len(), "each winner has its own revision: " + ended);
}

// An instance cut from the log gets it from its peers.
f.cut("entry-3", "log");
printed = f.operate("set account council rate 4000 burst 8000");
check(printed.contains("in force on 7 of 7"), "also on the one cut off: " + printed);
f.mend("entry-3", "log");

// Old records expire; an instance that starts afterwards learns the state.
f.faults("log", #{ expire_to: 1 });
f.kill("entry-1");
f.restart("entry-1");
sleep_ms(1500);
check(f.status("entry-1", "/health/ready") == 200, "it is ready though old records are gone");
let rows = f.operate_json("show configuration where in_force = no");
check(rows.len() == 0, "in force everywhere: " + rows);

// An outage accepts nothing and undoes nothing.
f.faults("log", #{ down: true });
let refused = false;
try { f.operate("set account council rate 1 burst 1"); } catch (error) { refused = `${error}`.contains("nothing was changed"); }
check(refused, "a change is refused in an outage");
let accounts = f.operate_json("show accounts");
check(accounts[0].rate == 4000, "the state is known in the outage: " + accounts);
f.faults("log", #{});
check(f.operate_json("show accounts")[0].rate == 4000, "and is the same after it");
f.operate("set account council rate 5000 burst 10000");
check(f.operate_json("show accounts")[0].rate == 5000, "changes go on");
