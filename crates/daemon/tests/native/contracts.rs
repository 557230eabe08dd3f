//! Changes of the contracts while statements arrive.

use crate::bench::FRESH;
use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::is_served;

failure_cases! {
    /// A contract is added, and its customer's first statement arrives before the group's task has
    /// handled the change of the catalog. If the scheduler didn't know the contract yet, it would
    /// refuse the statement as one of an unknown database.
    first_statement_under_a_new_contract_is_served => first_statement_case();
}

/// The number of contracts that are added; the task handles either event first.
const CONTRACTS: usize = 40;

async fn first_statement_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for number in 0..CONTRACTS {
        let customer = format!("customer-{number}");
        let statement = TestStatement::new(FRESH, "read 1").customer(&customer);
        bench.add_customer(&customer);
        let reply = bench.try_send(statement).unwrap().await.unwrap();
        assert!(is_served(&reply), "{number}: {reply:?}");
    }
}
