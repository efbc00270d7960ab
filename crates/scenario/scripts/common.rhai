// Publishes the account, key, routes and adapters that most scenarios use.
fn publish(f, rate, burst) {
    let statements = [
        `create account council rate ${rate} burst ${burst}`,
        "issue key for council named k1 secret demo-key",
        "set route orders key non-idempotent interactive",
        "set route stock key idempotent interactive",
    ];
    for adapter in 1..=5 {
        for version in 1..=2 {
            statements.push(`publish council-00${adapter} version ${version} on base`);
        }
    }
    f.operate_all(statements);
    f.operate("set route news open idempotent batch");
}

// Retries an order with its idempotency key until its outcome is final.
fn settle(f, entry, order) {
    for attempt in 0..20 {
        let answer = f.order(entry, "demo-key", order.key, order.sent);
        if answer.status == 201 { return "done"; }
        if answer.outcome == "unknown" && answer.status == 502 { return "unknown"; }
        sleep_ms(300);
    }
    "unsettled"
}

// Returns the number of records with a status.
fn count(records, status) {
    records.filter(|r| r.status == status).len()
}

// Counts the records by status and outcome.
fn statuses(records) {
    let counts = #{};
    for r in records {
        let name = `${r.status} ${r.outcome}`;
        counts[name] = (if name in counts { counts[name] } else { 0 }) + 1;
    }
    counts
}

// Prints the decisions about each call that did not succeed.
fn explain(f, records) {
    for r in records.filter(|r| r.status != 200 && r.status != 201) {
        print(`${r.status} ${r.outcome} after ${r.elapsed_ms} ms: ${r.body}`);
        if r.request != "" { print(f.operate("explain " + r.request)); }
    }
}
