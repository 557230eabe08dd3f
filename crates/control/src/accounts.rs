//! Client accounts in the catalog, and the lookup of an account by a caller's key.
//!
//! The catalog holds digests instead of keys, so that a dump, a delta or a gateway's memory reveals
//! no key. Only the document itself, as its operator wrote it, contains them.

use crate::catalog::CatalogState;
use crate::catalog::StampedItem;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use ragwort_types::AccountKey;
use ragwort_types::AccountName;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogRevision;
use ragwort_types::ClientAccount;
use ragwort_types::ContractDocument;
use ragwort_types::DigestSecret;
use ragwort_types::KeyDigest;
use sha2::Sha256;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Maximum number of removed accounts that are kept for deltas; a member that missed more gets the
/// whole catalog.
const MAX_REMOVED_ACCOUNTS: usize = 1_024;

/// Returns a key's digest (a truncated HMAC-SHA-256) under a secret.
///
/// # Panics
///
/// Never panics: a secret of any length is accepted.
pub fn digest_key(secret: DigestSecret, key: &AccountKey) -> KeyDigest {
    let mac = Hmac::<Sha256>::new_from_slice(&secret.0);
    let mut mac = mac.expect("HMAC accepts a key of any length");
    mac.update(key.as_secret().as_bytes());
    let whole = mac.finalize().into_bytes();
    let mut digest = KeyDigest::default();
    digest.0.copy_from_slice(&whole[..16]);
    digest
}

impl CatalogState {
    /// Returns an account.
    pub fn account(&self, name: &AccountName) -> Option<&AccountTerms> {
        self.accounts.get(name).map(|held| &held.item)
    }

    /// Puts the document's accounts in force and removes all others.
    pub(crate) fn replace_accounts(
        &mut self,
        revision: CatalogRevision,
        document: &ContractDocument,
    ) {
        if self.seal.is_none() && !document.accounts.is_empty() {
            self.seal = Some(document.seal.unwrap_or_default());
        }
        let seal = self.seal.unwrap_or_default();
        let listed: BTreeSet<&AccountName> =
            document.accounts.iter().map(|one| &one.name).collect();
        let unlisted = self.accounts.keys().filter(|name| !listed.contains(name));
        let gone: Vec<AccountName> = unlisted.cloned().collect();
        for name in gone {
            self.drop_account(revision, name);
        }
        for account in &document.accounts {
            self.put_account(revision, to_terms(seal, account));
        }
    }

    fn put_account(&mut self, revision: CatalogRevision, terms: AccountTerms) {
        if self.account(&terms.name) == Some(&terms) {
            return;
        }
        let name = terms.name.clone();
        if let Some(stamp) = self.gone_accounts.remove(&name) {
            self.forget_change(stamp, &CatalogKey::AccountGone(name.clone()));
        }
        let stamped = StampedItem {
            stamp: revision,
            item: terms,
        };
        let former = self.accounts.insert(name.clone(), stamped);
        let former = former.map(|former| former.stamp);
        self.note_change(revision, former, CatalogKey::Account(name));
    }

    fn drop_account(&mut self, revision: CatalogRevision, name: AccountName) {
        if let Some(former) = self.accounts.remove(&name) {
            self.forget_change(former.stamp, &CatalogKey::Account(name.clone()));
        }
        self.gone_accounts.insert(name.clone(), revision);
        self.note_change(revision, None, CatalogKey::AccountGone(name));
        while self.gone_accounts.len() > MAX_REMOVED_ACCOUNTS {
            let oldest = self.gone_accounts.iter().min_by_key(|(_, stamp)| **stamp);
            let Some((name, stamp)) = oldest.map(|(name, stamp)| (name.clone(), *stamp)) else {
                return;
            };
            self.delta_floor = self.delta_floor.max(stamp);
            self.gone_accounts.remove(&name);
            self.forget_change(stamp, &CatalogKey::AccountGone(name));
        }
    }
}

fn to_terms(seal: DigestSecret, account: &ClientAccount) -> AccountTerms {
    let keys = account.keys.iter();
    AccountTerms {
        name: account.name.clone(),
        seal,
        keys: keys.map(|key| digest_key(seal, key)).collect(),
        limit: account.limit,
    }
}

/// A member's accounts, indexed by the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountTable {
    accounts: BTreeMap<AccountName, AccountTerms>,
    holders: HashMap<KeyDigest, AccountName>,
}

impl AccountTable {
    /// Digests a key under the accounts' secret; `None` if there are no accounts.
    pub fn digest(&self, key: &AccountKey) -> Option<KeyDigest> {
        let (_, any) = self.accounts.first_key_value()?;
        Some(digest_key(any.seal, key))
    }

    /// Returns the account that holds a key.
    pub fn find_holder(&self, digest: &KeyDigest) -> Option<&AccountName> {
        self.holders.get(digest)
    }

    /// Returns an account.
    pub fn get(&self, name: &AccountName) -> Option<&AccountTerms> {
        self.accounts.get(name)
    }

    /// Iterates over the accounts.
    pub fn iter(&self) -> impl Iterator<Item = &AccountTerms> {
        self.accounts.values()
    }

    pub(crate) fn put(&mut self, terms: AccountTerms) {
        self.remove(&terms.name);
        for digest in &terms.keys {
            self.holders.insert(*digest, terms.name.clone());
        }
        self.accounts.insert(terms.name.clone(), terms);
    }

    pub(crate) fn remove(&mut self, name: &AccountName) {
        let Some(former) = self.accounts.remove(name) else {
            return;
        };
        for digest in &former.keys {
            // The key may have moved to another account, which holds it now.
            if self.holders.get(digest) == Some(name) {
                self.holders.remove(digest);
            }
        }
    }

    pub(crate) fn retain_listed(&mut self, listed: &BTreeSet<&AccountName>) {
        let unlisted = self.accounts.keys().filter(|name| !listed.contains(name));
        let gone: Vec<AccountName> = unlisted.cloned().collect();
        for name in gone {
            self.remove(&name);
        }
    }
}
