//! Digests that are the same on every VM and in every build, unlike those of the standard library.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a digest of the bytes.
pub(crate) fn digest_bytes(bytes: impl Iterator<Item = u8>) -> u64 {
    let mix = |digest: u64, byte: u8| (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    bytes.fold(FNV_OFFSET_BASIS, mix)
}

/// Returns the digest of a text, mixed so that a difference between texts affects all bits.
pub fn digest_text(text: &str) -> u64 {
    mix_bits(digest_bytes(text.bytes()))
}

/// Spreads the differences between digests over all bits (the finalizer of SplitMix64).
pub(crate) fn mix_bits(digest: u64) -> u64 {
    let digest = (digest ^ (digest >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let digest = (digest ^ (digest >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    digest ^ (digest >> 31)
}
