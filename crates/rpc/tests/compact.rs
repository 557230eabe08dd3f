//! Long texts between control VMs: shorter on their way, the same on arrival.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_rpc::CompactJson;
use ragwort_rpc::ExpandError;
use ragwort_rpc::compact_text;
use ragwort_rpc::expand_text;
use ragwort_types::HeartbeatReply;
use std::fmt::Write;

/// Returns a configuration of many alike contracts, as it stands within two layers of JSON.
fn nested_configuration() -> String {
    let mut source = String::from("{\"contracts\":[");
    for number in 0..200 {
        write!(source, "{{\"customer\":\"c{number}\",\"queue_limit\":64}},").unwrap();
    }
    let command = serde_json::json!({ "source": source }).to_string();
    serde_json::json!({ "entries": [command] }).to_string()
}

/// An operator changes a large configuration while VMs have narrow links. If each change travelled
/// as it is written, heartbeats would wait behind it, and leases would end.
#[test]
fn configuration_shrinks_to_a_tenth() {
    let text = nested_configuration();
    let compact = compact_text(text.clone());
    assert!(
        compact.len() * 10 <= text.len(),
        "{} of {}",
        compact.len(),
        text.len()
    );
    assert_eq!(expand_text(&compact).unwrap(), text);
}

/// Heartbeats are short, and those who look for a fault read them on the wire.
#[test]
fn short_text_stays_readable() {
    let text = "{\"h\":1}".to_owned();
    assert_eq!(compact_text(text.clone()), text);
}

/// A message is cut or damaged on its way. The receiver must say so and go on.
#[test]
fn damaged_text_is_refused() {
    let compact = compact_text(nested_configuration());
    let cut = &compact[..compact.len() / 2];
    assert!(expand_text(cut).is_err());
    assert_eq!(expand_text("z%%"), Err(ExpandError::NotBase64));
    assert_eq!(expand_text("zAAAA"), Err(ExpandError::NotCompressed));
}

/// Whatever a JSON text holds arrives as it was.
#[test]
fn any_text_arrives_as_it_was() {
    for seed in 0..300 {
        let mut generator = Gen::from_size_and_seed(60, seed);
        let words = Vec::<String>::arbitrary(&mut generator);
        let many: Vec<&String> = words.iter().cycle().take(words.len() * 20).collect();
        let text = serde_json::to_string(&many).unwrap();
        let compact = compact_text(text.clone());
        assert_eq!(expand_text(&compact).unwrap(), text, "seed {seed}");
    }
}

/// A VM returns after a loss of power and gets the whole catalog with its lease; all others do the
/// same at that moment. The reply shrinks, and what it holds is the same.
#[test]
fn long_value_is_compact_on_the_wire() {
    let value = vec![nested_configuration(); 3];
    let wire = serde_json::to_string(&CompactJson(value.clone())).unwrap();
    assert!(wire.len() * 10 <= nested_configuration().len() * 3);
    let arrived: CompactJson<Vec<String>> = serde_json::from_str(&wire).unwrap();
    assert_eq!(arrived.0, value);
}

/// A short reply travels as it would without the compact form.
#[test]
fn short_value_is_plain_on_the_wire() {
    let wire = serde_json::to_string(&CompactJson(vec![1, 2, 3])).unwrap();
    assert_eq!(wire, "[1,2,3]");
    let arrived: CompactJson<Vec<u32>> = serde_json::from_str(&wire).unwrap();
    assert_eq!(arrived.0, vec![1, 2, 3]);
    let word: CompactJson<HeartbeatReply> = serde_json::from_str("\"NotYet\"").unwrap();
    assert_eq!(word.0, HeartbeatReply::NotYet);
    assert!(serde_json::from_str::<CompactJson<Vec<u32>>>("\"zz\"").is_err());
}
