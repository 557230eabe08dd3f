//! Invariants of a scheduler's decisions under random events.

mod fixture;
mod model;

use model::GroupEvent;
use model::GroupModel;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ragwort_policy::ExcessRule;

fn keeps_all_invariants(events: Vec<GroupEvent>) -> bool {
    let mut model = GroupModel::new("north", ExcessRule::Forbidden);
    for event in &events {
        model.apply(event);
    }
    true
}

/// The same with a leaseholder in another failure domain and statements sent ahead.
fn keeps_all_invariants_across_domains(events: Vec<GroupEvent>) -> bool {
    let mut model = GroupModel::new("south", ExcessRule::Waits);
    for event in &events {
        model.apply(event);
    }
    true
}

/// The same with endpoints that reject and fail a part of what they get.
fn keeps_all_invariants_with_uneven_endpoints(events: Vec<GroupEvent>) -> bool {
    let mut model = GroupModel::new("north", ExcessRule::Forbidden).with_uneven_endpoints();
    for event in &events {
        model.apply(event);
    }
    true
}

/// The same with priority levels and a share group.
fn keeps_all_invariants_with_levels(events: Vec<GroupEvent>) -> bool {
    let mut model = GroupModel::new("north", ExcessRule::Forbidden).with_levels();
    for event in &events {
        model.apply(event);
    }
    true
}

macro_rules! seeded_cases {
    ($($name:ident($property:ident, $seed:expr, $size:expr, $runs:expr);)*) => {$(
        /// Random requests, ends, losses, reports and changes of endpoints. No order of them may
        /// lead to a slot or connection used twice, a read of missing or old data, a run after the
        /// deadline, two answers for one request, or a refusal that comes later than it could.
        #[test]
        fn $name() {
            QuickCheck::new()
                .rng(Gen::from_size_and_seed($size, $seed))
                .tests($runs)
                .quickcheck($property as fn(Vec<GroupEvent>) -> bool);
        }
    )*};
}

seeded_cases! {
    short_histories(keeps_all_invariants, 1, 60, 4_000);
    medium_histories(keeps_all_invariants, 2, 300, 2_000);
    long_histories(keeps_all_invariants, 3, 2_000, 400);
    short_histories_across_domains(keeps_all_invariants_across_domains, 4, 60, 4_000);
    long_histories_across_domains(keeps_all_invariants_across_domains, 5, 2_000, 400);
    short_histories_with_uneven_endpoints(keeps_all_invariants_with_uneven_endpoints, 6, 60, 4_000);
    long_histories_with_uneven_endpoints(keeps_all_invariants_with_uneven_endpoints, 7, 2_000, 400);
    short_histories_with_levels(keeps_all_invariants_with_levels, 6, 60, 4_000);
    long_histories_with_levels(keeps_all_invariants_with_levels, 7, 2_000, 400);
}

macro_rules! regression_cases {
    ($($(#[$doc:meta])* $name:ident($property:ident: $($event:ident($($value:expr),*)),* $(,)?);)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let events = vec![$(GroupEvent::$event($($value),*)),*];
            assert!($property(events));
        }
    )*};
}

regression_cases! {
    /// A request misses its target and is refused. One read less waits for the replicas then, so
    /// another read stays with them and a third one misses its target. Its caller learned of its
    /// refusal one poll too late.
    request_that_misses_its_target_is_settled_at_once(keeps_all_invariants:
        Remove(2), Arrive(49, 32241), Arrive(191, 26917), Report(1, 5, 653), Connect(1),
        Arrive(133, 12909), Connect(1), Arrive(29, 22538), Pass(15680), Pass(5535),
        Arrive(89, 20685), Pass(16968), Report(1, 7, 1), Pass(15237), Arrive(145, 56538),
        Arrive(115, 48468), Pass(15293),
    );

    /// The same, further on in a series of such refusals.
    refusals_are_settled_at_once(keeps_all_invariants:
        Remove(2), Arrive(191, 26917), Report(1, 5, 653), Connect(1), Pass(7675),
        Arrive(55, 62591), Report(1, 2, 252), Arrive(115, 49943), Pass(15748), Finish(107, 243),
        Pass(5535), Arrive(89, 20685), Pass(16968), Report(1, 7, 1), Pass(15237),
        Arrive(145, 56538), Arrive(115, 48468), Pass(5535), Pass(4109), Arrive(143, 20167),
        Pass(2704), Arrive(71, 12540), Finish(90, 218), Pass(19222), Pass(15441), Pass(13388),
        Arrive(39, 65535), Pass(15093),
    );

    /// A replica falls behind after the primary is gone. The read that waited for the replica was
    /// refused only at the next review, because it was still in the replicas' lane.
    unservable_read_is_refused_at_once(keeps_all_invariants:
        Arrive(125, 32219), Report(1, 6, 275), Remove(0), Report(1, 2, 111),
    );

    /// A replica is removed while a request runs on it, and comes back at once. Its old position
    /// was taken for its present one.
    position_is_dropped_with_its_endpoint(keeps_all_invariants:
        Arrive(1, 47090), Connect(1), Arrive(183, 414), Report(1, 3, 1), Arrive(79, 42995),
        Remove(1), Change(1, 1, false), Connect(1), Finish(132, 97),
    );

    /// A statement is sent ahead for a slot that is about to become free. The plan counted the
    /// connection of the run that still held the slot as idle.
    statement_sent_ahead_needs_a_connection(keeps_all_invariants_across_domains:
        Arrive(211, 46153), Connect(0), Pass(4074), Arrive(125, 44820), Pass(4656),
    );

    /// A statement that was sent ahead holds its slot longer than planned, and the one behind it
    /// can no longer meet its deadline. Its caller learned so one poll too late.
    statement_behind_one_sent_ahead_is_refused_at_once(keeps_all_invariants_across_domains:
        Arrive(186, 53658), Connect(2), Change(2, 0, false), Arrive(30, 52316), Pass(17563),
        Arrive(50, 38128), Pass(11579), Pass(9057), Finish(140, 239),
    );

    /// A transaction takes the only open connection. The plan still counted on it, so a request
    /// that had to wait for another connection was refused later than it could have been.
    transaction_takes_the_connection(keeps_all_invariants:
        Arrive(1, 33155), Connect(0), Arrive(241, 49699), Finish(181, 62), Arrive(1, 41956),
        Finish(243, 58), Arrive(161, 19671), Arrive(242, 63686), Finish(175, 106), Remove(0),
        Finish(167, 116), Change(0, 1, false), Connect(2), Report(0, 7, 55), Report(2, 3, 292),
        Arrive(127, 58990), Finish(136, 13), Change(2, 2, true), Arrive(97, 31045),
        Arrive(79, 24224), Pass(10658), Pass(13990), Change(0, 0, false), Pass(16038),
        Arrive(98, 14553), Pass(5535), Arrive(49, 45915), Pass(13212), Pass(5535), Connect(0),
        Begin(), Finish(206, 161), Pass(10521), Finish(115, 20), Finish(232, 0),
    );

    /// A new request was refused after the plan had been made with it. In the plan without it
    /// another request could no longer meet its deadline, and its caller learned so one poll too
    /// late.
    refused_newcomer_is_not_planned(keeps_all_invariants:
        FailConnect(2), Connect(0), Connect(0), Arrive(203, 260), Arrive(115, 13753),
        Arrive(221, 46236), Arrive(210, 57715), Pass(9965), Pass(9977), Pass(3656),
        Finish(137, 170), Finish(48, 255), Finish(147, 245), Begin(), Change(2, 2, true),
        Pass(14526), Finish(168, 226), Arrive(45, 52386), Pass(8587), Pass(15678), Pass(10675),
        Arrive(9, 50878), Pass(7475), Finish(90, 20), Remove(0), Connect(1), Report(1, 7, 141),
        Finish(60, 144), Arrive(133, 55825), Arrive(135, 12398), Pass(16372), Remove(1),
        Arrive(20, 17089), Begin(), Arrive(33, 4261), Pass(12221), Arrive(224, 8665),
        Arrive(144, 5006), Finish(218, 93), Arrive(113, 22997), Change(2, 0, false),
        Arrive(1, 11921), Arrive(240, 22486), Pass(12278), Arrive(29, 49467), Pass(18267),
        Pass(4788), Pass(10223), Pass(5535), Pass(5535), Pass(13981), Pass(11197),
        Arrive(194, 9500), Pass(7249), Pass(7950), Pass(9116), Pass(13408), Arrive(43, 458),
        Pass(10362), Pass(5992), Pass(3969), Pass(8417), Pass(8727), Connect(2), Pass(2468),
        Pass(10368), Pass(4448), Finish(45, 80), Arrive(160, 28289), Pass(3133), Pass(5222),
        Arrive(208, 54805), Pass(12781), Arrive(97, 18441), Finish(40, 200),
    );
}
