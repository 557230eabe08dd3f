//! The lab of ragwortgate: an endpoint stand-in, a load tool with an oracle, and helpers that start
//! whole sets of processes.
//!
//! Nothing here is part of the system: the daemon doesn't depend on this crate.
//!
//! # Examples
//!
//! A stand-in runs in the caller's process as well as on its own:
//!
//! ```
//! use ragwort_lab::instance::InstanceCore;
//! use ragwort_lab::instance::KeyWrite;
//! use ragwort_types::GroupTerm;
//!
//! let mut instance = InstanceCore::new(true);
//! let write = KeyWrite::Put { key: "case".to_owned(), value: "open".to_owned() };
//! let position = instance.commit(instance.generation(), vec![write], 0).unwrap();
//! assert_eq!(position.index, 1);
//! instance.fence(GroupTerm(1));
//! assert!(instance.read(instance.generation(), "case").is_err());
//! ```

pub mod agent_port;
pub mod announcer;
pub mod caller;
pub mod data_port;
pub mod demo;
pub mod endpoint;
pub mod faults;
pub mod gap;
pub mod instance;
pub mod instance_task;
pub mod lab_contract;
pub mod lab_look;
pub mod lab_rpc;
pub mod lab_set;
pub mod load;
pub mod load_plan;
pub mod load_report;
pub mod oracle;
pub mod ports;
pub mod process;
pub mod relay;
pub mod replication;
pub mod scale;
pub mod scale_links;
pub mod scale_path;
pub mod scale_process;
pub mod scale_report;
pub mod scale_set;
pub mod set_calls;
pub mod sizes;
pub mod soak;
pub mod statement;
