//! Placeholder of the crate's documentation.

pub mod agreement;
pub mod invariant;
mod record;

pub use agreement::AgreementNode;
pub use agreement::AgreementOutput;
pub use agreement::AgreementSettings;
pub use agreement::DiskWrite;
pub use agreement::DurableState;
pub use agreement::HardState;
pub use agreement::VoterId;
pub use record::RecordError;
pub use record::RestoredState;
pub use record::encode_record;
