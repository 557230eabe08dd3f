//! Placeholder of the program documentation.

fn main() {}
