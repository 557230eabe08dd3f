//! Checks that account keys never appear in error messages or debug output of a configuration.

use ragwort_types::ClientAccount;
use ragwort_types::ContractDocument;
use ragwort_types::DocumentCopy;
use ragwort_types::DocumentVersion;

const KEY: &str = "k-5b1f0c";

/// Parses an account whose `keys` field is the given JSON text.
fn read_account(keys: &str) -> Result<ClientAccount, String> {
    let text = format!(r#"{{"name":"directorate","keys":{keys}}}"#);
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// An operator writes a single key instead of a list, or forgets a key's quotes. The sender of the
/// document logs the error message, so it must not contain the key.
#[test]
fn faulty_keys_are_refused_without_being_shown() {
    let faulty = [
        format!(r#""{KEY}""#),
        format!(r#"{{"first":"{KEY}"}}"#),
        "90817263".to_owned(),
        "[90817263]".to_owned(),
        "[9081.7263]".to_owned(),
        format!(r#"[["{KEY}"]]"#),
    ];
    for keys in faulty {
        let fault = read_account(&keys).expect_err("the keys are faulty");
        let shown = [KEY, "90817263", "9081.7263"]
            .iter()
            .any(|key| fault.contains(key));
        assert!(!shown, "{fault}");
        assert!(fault.contains("key"), "{fault}");
    }
}

#[test]
fn keys_are_read_as_they_were_written() {
    let account = read_account(&format!(r#"["{KEY}", ""]"#)).unwrap();
    let keys: Vec<&str> = account.keys.iter().map(|key| key.as_secret()).collect();
    assert_eq!(keys, [KEY, ""]);
    let text = serde_json::to_string(&account).unwrap();
    assert_eq!(
        serde_json::from_str::<ClientAccount>(&text).unwrap(),
        account
    );
}

/// A document contains keys in its parsed accounts and in its source text; the debug output must
/// show neither.
#[test]
fn printed_document_shows_no_key() {
    let account = read_account(&format!(r#"["{KEY}"]"#)).unwrap();
    let document = ContractDocument {
        version: DocumentVersion(7),
        source: format!("api-keys: [{KEY}]").into(),
        contracts: Vec::new(),
        groups: Vec::new(),
        accounts: vec![account],
        seal: None,
    };
    let copy = DocumentCopy {
        version: document.version,
        source: document.source.clone(),
    };
    let printed = format!("{document:?} {copy:?}");
    assert!(!printed.contains(KEY), "{printed}");
}
