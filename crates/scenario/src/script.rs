//! The scenario language: Rhai scripts with functions that start a fleet, send calls,
//! inject faults and check the results.

use std::{path::Path, sync::Arc, thread, time::Duration};

use rhai::{
    Array, Blob, Dynamic, Engine, EvalAltResult, ImmutableString, Map,
    module_resolvers::FileModuleResolver, serde::from_dynamic,
};
use serde_json::Value;

use crate::{
    calls::{Call, Delivery, Load, Record},
    fleet::{Fleet, Shape},
    process::Signal,
};

type Handle = Arc<Fleet>;
type ScriptError = Box<EvalAltResult>;

/// Runs a script.
///
/// # Errors
///
/// The first failed check or script error, with its position in the script.
pub fn run(path: &Path) -> Result<(), String> {
    let mut engine = Engine::new();
    let folder = path.parent().unwrap_or(Path::new("."));
    engine.set_module_resolver(FileModuleResolver::new_with_path(folder));
    engine.set_max_expr_depths(128, 128);
    register_fleet(&mut engine);
    register_calls(&mut engine);
    register_faults(&mut engine);
    engine.run_file(path.to_owned()).map_err(|error| format!("{}: {error}", path.display()))
}

fn register_fleet(engine: &mut Engine) {
    engine.register_type_with_name::<Handle>("Fleet");
    engine.register_fn("fleet", || Fleet::start(&Shape::default()));
    engine.register_fn("fleet", |options: Map| Fleet::start(&read_shape(&options)));
    engine.register_fn("operate", |fleet: &mut Handle, statement: &str| {
        fleet.operate(&[statement], &[]).map_err(ScriptError::from)
    });
    engine.register_fn("operate_json", |fleet: &mut Handle, statement: &str| {
        let printed = fleet.operate(&[statement], &["--json"]).map_err(ScriptError::from)?;
        let value: Value = serde_json::from_str(&printed).map_err(|error| error.to_string())?;
        rhai::serde::to_dynamic(value)
    });
    engine.register_fn("operate_all", |fleet: &mut Handle, statements: Array| {
        let statements: Vec<String> = statements.iter().map(Dynamic::to_string).collect();
        let statements: Vec<&str> = statements.iter().map(String::as_str).collect();
        fleet.operate(&statements, &["--no-wait"]).map_err(ScriptError::from)
    });
    engine.register_fn("race", |fleet: &mut Handle, statements: Array| -> Array {
        let statements: Vec<String> = statements.iter().map(Dynamic::to_string).collect();
        let statements: Vec<&str> = statements.iter().map(String::as_str).collect();
        let text = |ended: Result<String, String>| ended.unwrap_or_else(|error| error);
        fleet.race(&statements).into_iter().map(|ended| Dynamic::from(text(ended))).collect()
    });
    engine.register_fn("add_second_side", |fleet: &mut Handle, number: i64, engine: &str| {
        fleet.add_second_side(number as usize, engine);
    });
    engine.register_fn("violations", |fleet: &mut Handle| -> Array {
        fleet.violations().into_iter().map(Dynamic::from).collect()
    });
    engine.register_fn("logs_contain", |fleet: &mut Handle, text: &str| fleet.logs_contain(text));
    engine.register_fn("status", |fleet: &mut Handle, name: &str, path: &str| {
        i64::from(fleet.status(name, path))
    });
    engine.register_fn("page", |fleet: &mut Handle, name: &str, path: &str| {
        rhai::serde::to_dynamic(fleet.page(name, path))
    });
    engine.register_fn("journals", |fleet: &mut Handle, prefix: &str| {
        rhai::serde::to_dynamic(fleet.journals(prefix))
    });
    engine.register_fn("raw", |fleet: &mut Handle, entry: &str, text: &str| {
        fleet.raw(entry, text.as_bytes())
    });
    engine.register_fn("raw_bytes", |fleet: &mut Handle, entry: &str, bytes: Blob| {
        fleet.raw(entry, &bytes)
    });
    engine.register_fn("now_ms", || {
        let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        elapsed.map_or(0, |elapsed| elapsed.as_millis() as i64)
    });
    engine.register_fn("sleep_ms", |ms: i64| thread::sleep(Duration::from_millis(ms as u64)));
    engine.register_fn("check", |holds: bool, what: &str| {
        if holds { Ok(()) } else { Err(ScriptError::from(format!("check failed: {what}"))) }
    });
}

fn register_calls(engine: &mut Engine) {
    engine.register_type_with_name::<Load>("Load");
    engine.register_fn(
        "chat",
        |fleet: &mut Handle, entry: &str, key: &str, model: &str, prompt: &str, tokens: i64| {
            let call = chat(model, prompt, tokens, Delivery::Buffered);
            to_map(&fleet.call(entry, key, &call))
        },
    );
    engine.register_fn(
        "stream",
        |fleet: &mut Handle, entry: &str, key: &str, model: &str, prompt: &str, tokens: i64| {
            let call = chat(model, prompt, tokens, Delivery::Streamed);
            to_map(&fleet.call(entry, key, &call))
        },
    );
    engine.register_fn(
        "order",
        |fleet: &mut Handle, entry: &str, key: &str, idempotency_key: &str, body: &str| {
            let call = Call::Order {
                route: "orders".to_owned(),
                idempotency_key: idempotency_key.to_owned(),
                body: body.to_owned(),
            };
            to_map(&fleet.call(entry, key, &call))
        },
    );
    engine.register_fn("lookup", |fleet: &mut Handle, entry: &str, key: &str, item: &str| {
        let call = Call::Lookup { route: "stock".to_owned(), item: item.to_owned() };
        to_map(&fleet.call(entry, key, &call))
    });
    engine.register_fn("chat_load", |fleet: &mut Handle, key: &str, options: Map| {
        let load = ChatLoad::read(&options);
        let interval = load.interval;
        fleet.load(key, interval, move |index| load.call(index))
    });
    engine.register_fn("order_load", |fleet: &mut Handle, key: &str, interval_ms: i64| {
        let run = rand::random::<u32>();
        fleet.load(key, Duration::from_millis(interval_ms as u64), move |index| Call::Order {
            route: "orders".to_owned(),
            idempotency_key: format!("{run:x}-{index}"),
            body: format!("{{\"order\":\"{run:x}-{index}\"}}"),
        })
    });
    engine.register_fn("finish", |fleet: &mut Handle, load: Load| -> Array {
        fleet.finish(&load).iter().map(|record| Dynamic::from(to_map(record))).collect()
    });
}

fn register_faults(engine: &mut Engine) {
    engine.register_fn("kill", |fleet: &mut Handle, name: &str| fleet.kill(name));
    engine.register_fn("stop", |fleet: &mut Handle, name: &str| i64::from(fleet.stop(name)));
    engine.register_fn("restart", |fleet: &mut Handle, name: &str| fleet.restart(name));
    engine.register_fn("terminate", |fleet: &mut Handle, name: &str| {
        fleet.signal(name, Signal::Terminate);
    });
    engine.register_fn("freeze", |fleet: &mut Handle, name: &str| {
        fleet.signal(name, Signal::Stop);
    });
    engine.register_fn("thaw", |fleet: &mut Handle, name: &str| {
        fleet.signal(name, Signal::Continue);
    });
    engine.register_fn("cut", |fleet: &mut Handle, name: &str, service: &str| {
        fleet.cut(name, service);
    });
    engine.register_fn("mend", |fleet: &mut Handle, name: &str, service: &str| {
        fleet.mend(name, service);
    });
    engine.register_fn("faults", |fleet: &mut Handle, name: &str, faults: Map| {
        let faults: Value = from_dynamic(&Dynamic::from(faults))?;
        fleet.faults(name, &faults);
        Ok::<_, ScriptError>(())
    });
}

/// Background load of completions, spread over adapters and versions.
struct ChatLoad {
    interval: Duration,
    adapters: u64,
    tokens: i64,
    delivery: Delivery,
}

impl ChatLoad {
    fn read(options: &Map) -> ChatLoad {
        let number = |key: &str, default: i64| {
            options.get(key).and_then(|value| value.as_int().ok()).unwrap_or(default)
        };
        let is_streamed = options.get("stream").is_some_and(|value| value.as_bool() == Ok(true));
        ChatLoad {
            interval: Duration::from_millis(number("interval_ms", 50) as u64),
            adapters: number("adapters", 5) as u64,
            tokens: number("tokens", 8),
            delivery: if is_streamed { Delivery::Streamed } else { Delivery::Buffered },
        }
    }

    fn call(&self, index: u64) -> Call {
        let adapter = index * 7 % self.adapters + 1;
        let version = index % 2 + 1;
        let model = format!("council-{adapter:03}@{version}");
        chat(&model, &format!("question {index}"), self.tokens, self.delivery)
    }
}

fn chat(model: &str, prompt: &str, tokens: i64, delivery: Delivery) -> Call {
    Call::Chat {
        model: model.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: tokens as u64,
        delivery,
    }
}

fn read_shape(options: &Map) -> Shape {
    let defaults = Shape::default();
    let count = |key: &str, default: usize| {
        let value = options.get(key).and_then(|value| value.as_int().ok());
        value.map_or(default, |value| value as usize)
    };
    let text = |key: &str, default: String| {
        let value = options.get(key).and_then(|value| value.clone().into_immutable_string().ok());
        value.map_or(default, |value: ImmutableString| value.to_string())
    };
    Shape {
        entries: count("entries", defaults.entries),
        engines: count("engines", defaults.engines),
        services: count("services", defaults.services),
        entry_extra: text("entry_extra", defaults.entry_extra),
        engine_extra: text("engine_extra", defaults.engine_extra),
        store: text("store", defaults.store),
        timing: text("timing", defaults.timing),
    }
}

fn to_map(record: &Record) -> Map {
    let answer = &record.answer;
    let mut map = Map::new();
    map.insert("status".into(), Dynamic::from(i64::from(answer.status)));
    map.insert("outcome".into(), Dynamic::from(answer.outcome.clone()));
    map.insert("request".into(), Dynamic::from(answer.request.clone()));
    map.insert("body".into(), Dynamic::from(answer.body.clone()));
    map.insert("text".into(), Dynamic::from(answer.text.clone()));
    map.insert("tokens".into(), Dynamic::from(answer.tokens as i64));
    map.insert("whole".into(), Dynamic::from(answer.is_complete));
    map.insert("replayed".into(), Dynamic::from(answer.is_replayed));
    map.insert(
        "retry_after".into(),
        Dynamic::from(answer.retry_after.map_or(-1, |seconds| seconds as i64)),
    );
    if let Call::Order { idempotency_key, body, .. } = &record.call {
        map.insert("key".into(), Dynamic::from(idempotency_key.clone()));
        map.insert("sent".into(), Dynamic::from(body.clone()));
    }
    let elapsed = record.ended - record.sent;
    map.insert("elapsed_ms".into(), Dynamic::from(elapsed.as_millis() as i64));
    map
}
