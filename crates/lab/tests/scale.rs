//! The linear fits and statistics of the scale report, and the parsers of `/proc`.

use ragwort_lab::scale_process::ProcessUse;
use ragwort_lab::scale_process::parse_processor_time;
use ragwort_lab::scale_process::parse_resident_bytes;
use ragwort_lab::scale_report::LineFit;
use ragwort_lab::scale_report::TimeList;
use std::time::Duration;

macro_rules! scale_cases {
    ($($name:ident: $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!($check);
            }
        )*
    };
}

const STAT: &str = "42 (a) b (c) S 1 42 42 0 -1 4194560 100 0 0 0 250 150 0 0 20 0 13 0 99 1 1 1";

scale_cases! {
    a_line_goes_through_points_that_lie_on_one:
        LineFit::through(&[(10.0, 7.0), (30.0, 17.0), (60.0, 32.0)])
            .is_some_and(|line| (line.at(630.0) - 317.0).abs() < 1e-6 && (line.slope - 0.5).abs() < 1e-9);
    a_line_has_the_least_squares_slope:
        LineFit::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)])
            .is_some_and(|line| (line.slope - 0.5).abs() < 1e-9 && (line.start - 0.5).abs() < 1e-9);
    one_place_gives_no_line: LineFit::through(&[(10.0, 1.0), (10.0, 2.0)]).is_none();
    no_points_give_no_line: LineFit::through(&[]).is_none();
    a_program_name_with_brackets_is_skipped:
        parse_processor_time(STAT) == Some(Duration::from_secs(4));
    a_cut_stat_line_gives_no_time: parse_processor_time("42 (a) S 1 42").is_none();
    resident_memory_is_in_kilobytes:
        parse_resident_bytes("VmPeak: 9 kB\nVmRSS:\t  2048 kB\n") == Some(2_097_152);
    a_status_without_memory_gives_none: parse_resident_bytes("State: Z (zombie)\n").is_none();
    this_process_has_memory:
        ProcessUse::read(std::process::id()).is_ok_and(|used| used.resident_bytes > 0);
    the_longest_time_is_the_worst: TimeList(vec![3.0, 9.0, 5.0]).worst() == Some(9.0);
    the_middle_time_is_the_median: TimeList(vec![3.0, 9.0, 5.0]).median() == Some(5.0);
    no_times_have_no_median: TimeList::default().median().is_none();
}
