//! Test bench of ragwortgate: an in-memory database endpoint, a load generator that checks the
//! consistency of answers, and helpers that start whole deployments as local processes.
//!
//! The crate is for tests and measurements only; the daemon doesn't depend on it.
//!
//! # Examples
//!
//! The state of an instance can be used without its network ports:
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
pub mod lab_queries;
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
