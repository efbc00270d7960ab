//! Messages of side processes and entry instances, and what builds that name adapters without their base
//! models make of them.

use gateway::message::{Demand, Message, Residents, Status};
use postcard::{from_bytes, to_stdvec};
use serde::{Deserialize, Serialize};
use serving::{
    Name,
    adapter::{self, Adapter},
    residency::SlotUsage,
};

type Work = Vec<(std::net::SocketAddr, u64, u32)>;

/// Status of an earlier build.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierStatus {
    server: Option<Name>,
    born_ms: u64,
    models: Vec<Name>,
    slot_usage: SlotUsage,
    loading_ms: Option<u64>,
    adapters: Vec<(Name, u64)>,
    pending: Vec<(Name, u64)>,
    recent: Vec<(Name, u64)>,
    work: Work,
    revision: u64,
}

/// Demand report of an earlier build.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierDemand {
    server: Name,
    born_ms: u64,
    is_near: bool,
    needs_status: bool,
    model: Option<Name>,
    adapter_slots: usize,
    tokens: u64,
    requests: u32,
    in_flight: Vec<(Name, u32)>,
    used: Vec<Name>,
    load_requests: Vec<(Name, Name, u64)>,
    takes_residents: bool,
}

/// Messages of an earlier build, at their positions.
#[derive(Debug, Serialize, Deserialize)]
enum EarlierMessage {
    Demand(EarlierDemand),
    Status(EarlierStatus),
}

fn version(model: &str, name: &str, number: u64) -> adapter::Version {
    adapter::Version { adapter: Adapter::new(model, name), number }
}

fn status() -> Status {
    Status {
        models: vec!["base".into(), "second".into()],
        adapters: vec![version("base", "a1", 2), version("second", "a1", 1)],
        pending: vec![version("second", "a2", 1)],
        recent: vec![version("gone", "a1", 4), version("base", "a3", 1)],
        revision: 7,
        ..Status::default()
    }
}

fn demand() -> Demand {
    let (first, second) = (Adapter::new("base", "a1"), Adapter::new("second", "a1"));
    Demand {
        server: "i-1".into(),
        born_ms: 200,
        is_near: true,
        needs_status: false,
        model: Some("base".into()),
        adapter_slots: 6,
        tokens: 7,
        requests: 1,
        in_flight: vec![(first.clone(), 3), (second.clone(), 1)],
        used: vec![second, first],
        load_requests: vec![version("second", "a2", 5)],
        takes_residents: true,
    }
}

fn pass(message: &Message) -> Message {
    from_bytes(&to_stdvec(message).unwrap()).unwrap()
}

#[test]
fn keeps_the_base_models_of_adapters() {
    let (status, demand) = (status(), demand());
    let residents = Residents {
        born_ms: 200,
        revision: 7,
        slot_usage: SlotUsage::default(),
        adapters: status.adapters.clone(),
        pending: status.pending.clone(),
        work: Work::new(),
    };

    let passed_status = pass(&Message::Status(status.clone()));
    let passed_residents = pass(&Message::Residents(residents.clone()));
    let passed_demand = pass(&Message::Demand(demand.clone()));

    assert!(matches!(passed_status, Message::Status(passed) if passed == status));
    assert!(matches!(passed_residents, Message::Residents(passed) if passed == residents));
    let Message::Demand(passed) = passed_demand else { panic!("{passed_demand:?}") };
    assert_eq!((passed.in_flight, passed.used), (demand.in_flight, demand.used));
    assert_eq!((passed.load_requests, passed.takes_residents), (demand.load_requests, true));
}

// Guards against a release in which processes of both builds understand each other no more.
#[test]
fn is_read_by_an_earlier_build() {
    let status: EarlierMessage =
        from_bytes(&to_stdvec(&Message::Status(status())).unwrap()).unwrap();
    let demand: EarlierMessage =
        from_bytes(&to_stdvec(&Message::Demand(demand())).unwrap()).unwrap();

    let EarlierMessage::Status(status) = status else { panic!("{status:?}") };
    assert_eq!(status.adapters, [("a1".into(), 2), ("a1".into(), 1)]);
    assert_eq!((status.recent.len(), status.revision), (2, 7));
    let EarlierMessage::Demand(demand) = demand else { panic!("{demand:?}") };
    assert_eq!(demand.in_flight, [("a1".into(), 3), ("a1".into(), 1)]);
    // It would send the residents without their base models.
    assert!(!demand.takes_residents);
}

// Guards against an adapter that passes for its namesake of another base model, in a newer version.
#[test]
fn presumes_no_version_that_an_earlier_build_may_mean_of_a_namesake() {
    let earlier = EarlierMessage::Status(EarlierStatus {
        server: None,
        born_ms: 200,
        models: vec!["base".into(), "second".into()],
        slot_usage: SlotUsage::default(),
        loading_ms: None,
        adapters: vec![("a1".into(), 2), ("a1".into(), 1), ("a2".into(), 3)],
        pending: Vec::new(),
        recent: Vec::new(),
        work: Work::new(),
        revision: 7,
    });

    let read: Message = from_bytes(&to_stdvec(&earlier).unwrap()).unwrap();

    let Message::Status(status) = read else { panic!("{read:?}") };
    let of_model = |model: &str| [version(model, "a1", 1), version(model, "a2", 3)];
    assert_eq!(status.adapters, [of_model("base"), of_model("second")].concat());
}

// Guards against a small datagram that takes up much memory: each name stands for an adapter of each model.
#[test]
fn presumes_no_adapters_beyond_a_limit() {
    let names = || (0..1000).map(|number| Name::from(format!("{number:x}")));
    let earlier = EarlierMessage::Status(EarlierStatus {
        server: None,
        born_ms: 200,
        models: names().collect(),
        slot_usage: SlotUsage::default(),
        loading_ms: None,
        adapters: names().map(|name| (name, 1)).collect(),
        pending: Vec::new(),
        recent: Vec::new(),
        work: Work::new(),
        revision: 7,
    });

    let read: Message = from_bytes(&to_stdvec(&earlier).unwrap()).unwrap();

    let Message::Status(status) = read else { panic!("{read:?}") };
    assert_eq!(status.adapters, []);
}

// Guards against side processes that lose their subscribers during a rolling upgrade.
#[test]
fn reads_demand_of_an_earlier_build() {
    let earlier = EarlierMessage::Demand(EarlierDemand {
        server: "i-1".into(),
        born_ms: 200,
        is_near: true,
        needs_status: false,
        model: Some("base".into()),
        adapter_slots: 6,
        tokens: 7,
        requests: 1,
        in_flight: vec![("a1".into(), 3)],
        used: vec!["a1".into()],
        load_requests: vec![("second".into(), "a2".into(), 5)],
        takes_residents: true,
    });
    let bytes = to_stdvec(&earlier).unwrap();
    // Still earlier builds do not have the last field.
    for (bytes, takes_residents) in [(&bytes[..], true), (&bytes[..bytes.len() - 1], false)] {
        let read: Message = from_bytes(bytes).unwrap();

        let Message::Demand(read) = read else { panic!("{read:?}") };
        assert_eq!((read.tokens, read.requests, read.takes_residents), (7, 1, takes_residents));
        assert_eq!(read.in_flight, [(Adapter::new("base", "a1"), 3)]);
        assert_eq!(read.load_requests, [version("second", "a2", 5)]);
    }
}

// Guards against base models that are named once for each adapter: the largest fleets have 600 engines.
#[test]
fn names_each_base_model_once() {
    let size = |adapters: Vec<adapter::Version>| {
        let status = Status { adapters, ..Status::default() };
        to_stdvec(&Message::Status(status)).unwrap().len()
    };
    let of_model = |model: &str, count: usize| -> Vec<adapter::Version> {
        (0..count).map(|number| version(model, &format!("a{number:02}"), 1)).collect()
    };
    let nameless = size(of_model("", 30));
    let of_two = [of_model("model-name", 15), of_model("other-name", 15)].concat();

    let (name, positions) = ("model-name".len(), 30);
    assert_eq!(size(of_model("model-name", 30)), nameless + name);
    assert_eq!(size(of_two), nameless + 2 * name + 1 + positions);
}
