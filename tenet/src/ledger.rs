//! The next move of a request, as a pure function of its plan and the attempts made so far: send, wait, answer or
//! give up. After an attempt that ended without an answer a write is looked up by id before it may run, and ends
//! with its outcome or `unknown`; where servers look nothing up it is not attempted again.

use crate::base::*;
use crate::kind::Kind;
use crate::plant::{planted, Bug};

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum To {
    Gateway(NodeId),
    Replica(usize),
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum End {
    Open,
    Done,
    Old,
    Rejected(Kind),
    Lost,
}

#[derive(Clone, Debug)]
pub struct Go {
    pub to: To,
    pub at: Time,
    pub end: End,
    pub end_at: Time,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: Vec<NodeId>,
    pub replicas: Vec<usize>,
    pub writes: bool,
    pub pinned: bool,
    pub commit: bool,
    pub deadline: Time,
    pub patience: Time,
    pub none: Kind,
    pub looks_up: bool,
    /// It opens a transaction, so it must not run on two connections.
    pub opens: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Move {
    Send { to: To, look_up: bool },
    Wait(Time),
    Rest,
    Answer,
    Give(Kind),
}

pub fn passing(k: Kind) -> bool {
    use Kind::*;
    matches!(
        k,
        Busy | NotCurrent | NoPrimary | NoCopies | Leaving | Starting | Aborted | TooLate | Unknown
    )
}

fn unsure(p: &Plan, gos: &[Go]) -> bool {
    if planted(Bug::NothingTold) {
        return false;
    }
    let open = |g: &Go| matches!(g.end, End::Lost | End::Open | End::Rejected(Kind::Unknown));
    (p.writes || p.commit) && gos.iter().any(open)
}

pub fn give(p: &Plan, gos: &[Go], k: Kind) -> Move {
    Move::Give(if unsure(p, gos) { Kind::Unknown } else { k })
}

pub fn next(p: &Plan, gos: &[Go], now: Time) -> Move {
    let last = gos.last().map(|g| g.end);
    if last == Some(End::Done) {
        return Move::Answer;
    }
    if now >= p.deadline {
        return give(p, gos, Kind::TooLate);
    }
    let kind = match last {
        Some(End::Open) => return Move::Rest,
        Some(End::Rejected(k)) if matches!(k, Kind::Failed | Kind::OtherBody) => {
            return Move::Give(k)
        }
        Some(End::Rejected(k)) if !passing(k) => return give(p, gos, k),
        Some(End::Rejected(k)) => k,
        _ => p.none,
    };
    let ran = matches!(
        last,
        Some(End::Lost | End::Rejected(Kind::Aborted | Kind::Unknown))
    );
    if p.opens && !p.commit && ran {
        return Move::Give(Kind::Aborted);
    }
    let doubt = unsure(p, gos) && !planted(Bug::LostSentAgain);
    if doubt && !p.looks_up {
        return Move::Give(Kind::Unknown);
    }
    if p.commit && gos.len() > 1 && last == Some(End::Rejected(Kind::Aborted)) {
        return Move::Give(Kind::Aborted);
    }
    let passed = gos
        .iter()
        .filter(|g| matches!(g.to, To::Gateway(_)))
        .count();
    let untaken = matches!(last, Some(End::Rejected(k)) if k != Kind::Aborted)
        && passed < 2 * p.gateways.len();
    if p.pinned && last.is_some() && !untaken && !(p.commit && doubt) {
        return give(p, gos, Kind::Aborted);
    }
    let fresh = p
        .replicas
        .iter()
        .find(|r| gos.iter().all(|g| g.to != To::Replica(**r)));
    if let Some(r) = fresh {
        return Move::Send {
            to: To::Replica(*r),
            look_up: false,
        };
    }
    if p.gateways.is_empty() {
        let waits = p.none == Kind::NoPrimary && !doubt && now < p.patience;
        return if waits {
            Move::Wait((now + NO_GATEWAY).min(p.patience))
        } else {
            give(p, gos, p.none)
        };
    }
    let n = passed;
    let to = To::Gateway(p.gateways[n % p.gateways.len()]);
    if n < p.gateways.len() {
        return Move::Send { to, look_up: doubt };
    }
    let end = gos.last().map_or(now, |g| g.end_at);
    if now >= p.patience && !doubt {
        return give(p, gos, kind);
    }
    let due = end + 40 * (n / p.gateways.len()).min(5) as Time;
    match now >= due {
        true => Move::Send { to, look_up: doubt },
        false => Move::Wait(due.min(if doubt { p.deadline } else { p.patience })),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan() -> Plan {
        Plan {
            gateways: vec![1, 2],
            replicas: vec![],
            writes: true,
            pinned: false,
            commit: false,
            deadline: 1000,
            patience: 500,
            none: Kind::NoPrimary,
            looks_up: true,
            opens: false,
        }
    }

    fn go(n: NodeId, end: End) -> Go {
        Go {
            to: To::Gateway(n),
            at: 0,
            end,
            end_at: 10,
        }
    }

    #[test]
    fn a_vanished_write_is_looked_up_and_never_called_nothing_kept() {
        let p = plan();
        let gos = vec![go(1, End::Lost)];
        assert_eq!(
            next(&p, &gos, 10),
            Move::Send {
                to: To::Gateway(2),
                look_up: true
            }
        );
        let gos = vec![go(1, End::Lost), go(2, End::Rejected(Kind::NoPrimary))];
        assert_eq!(
            next(&p, &gos, 999),
            Move::Send {
                to: To::Gateway(1),
                look_up: true
            }
        );
        assert_eq!(next(&p, &gos, 1000), Move::Give(Kind::Unknown));
        let gos = vec![
            go(1, End::Rejected(Kind::NoPrimary)),
            go(2, End::Rejected(Kind::NoPrimary)),
        ];
        assert_eq!(next(&p, &gos, 1000), Move::Give(Kind::TooLate));
        assert_eq!(next(&p, &gos, 500), Move::Give(Kind::NoPrimary));
    }

    #[test]
    fn a_lost_commit_ends_as_soon_as_the_new_primary_is_known_not_to_hold_it() {
        let p = Plan {
            pinned: true,
            commit: true,
            ..plan()
        };
        let lost = go(1, End::Lost);
        let found = next(&p, std::slice::from_ref(&lost), 10);
        assert_eq!(
            found,
            Move::Send {
                to: To::Gateway(2),
                look_up: true
            }
        );
        let gos = vec![lost.clone(), go(2, End::Rejected(Kind::Aborted))];
        assert_eq!(next(&p, &gos, 10), Move::Give(Kind::Aborted));
        let gos = vec![lost, go(2, End::Rejected(Kind::NoPrimary))];
        assert_eq!(next(&p, &gos, 1000), Move::Give(Kind::Unknown));
    }

    #[test]
    fn a_step_that_no_gateway_took_goes_through_another_and_a_lost_one_does_not() {
        let p = Plan {
            pinned: true,
            writes: false,
            ..plan()
        };
        let no = go(1, End::Rejected(Kind::NoPrimary));
        assert_eq!(
            next(&p, std::slice::from_ref(&no), 10),
            Move::Send {
                to: To::Gateway(2),
                look_up: false
            }
        );
        let two = go(2, End::Rejected(Kind::NoPrimary));
        assert_eq!(next(&p, &[no.clone(), two.clone()], 10), Move::Wait(50));
        assert_eq!(
            next(&p, &[no.clone(), two.clone()], 50),
            Move::Send {
                to: To::Gateway(1),
                look_up: false
            }
        );
        assert_eq!(
            next(&p, &[no.clone(), two.clone(), no, two], 10),
            Move::Give(Kind::Aborted)
        );
        assert_eq!(next(&p, &[go(1, End::Lost)], 10), Move::Give(Kind::Aborted));
    }

    #[test]
    fn what_opens_a_transaction_and_may_have_run_is_not_run_again() {
        let p = Plan {
            writes: false,
            opens: true,
            ..plan()
        };
        assert!(matches!(
            next(&p, &[go(1, End::Rejected(Kind::Busy))], 10),
            Move::Send { .. }
        ));
        for e in [
            End::Lost,
            End::Rejected(Kind::Aborted),
            End::Rejected(Kind::Unknown),
        ] {
            assert_eq!(next(&p, &[go(1, e)], 10), Move::Give(Kind::Aborted));
        }
        let p = Plan {
            writes: true,
            commit: true,
            looks_up: false,
            ..p
        };
        assert_eq!(next(&p, &[go(1, End::Lost)], 10), Move::Give(Kind::Unknown));
    }

    #[test]
    fn a_pause_before_the_next_go_never_passes_the_moment_of_giving_up() {
        let no = |at| Go {
            end_at: at,
            ..go(1, End::Rejected(Kind::NoPrimary))
        };
        assert_eq!(
            next(&plan(), &[no(0), no(0), no(0), no(480)], 490),
            Move::Wait(500)
        );
        let lost = Go {
            end_at: 900,
            ..go(1, End::Lost)
        };
        assert_eq!(
            next(&plan(), &[lost, no(950), no(960), no(980)], 990),
            Move::Wait(1000)
        );
    }

    #[test]
    fn the_same_gos_always_give_the_same_move() {
        arbtest::arbtest(|u| {
            let ends = [
                End::Open,
                End::Done,
                End::Lost,
                End::Old,
                End::Rejected(Kind::Busy),
                End::Rejected(Kind::Failed),
                End::Rejected(Kind::NoHome),
            ];
            let n = u.int_in_range(0..=6)?;
            let gos: Vec<Go> = (0..n)
                .map(|_| Ok(go(1 + u.int_in_range(0..=1)?, *u.choose(&ends)?)))
                .collect::<Result<_, arbtest::arbitrary::Error>>()?;
            let now = u.int_in_range(0..=1200)?;
            let mut p = plan();
            p.writes = u.arbitrary()?;
            p.pinned = u.arbitrary()?;
            let m = next(&p, &gos, now);
            assert_eq!(m, next(&p, &gos, now));
            let lost = gos.iter().any(|g| g.end == End::Lost);
            if let (Move::Give(k), true, true) = (m, lost, p.writes) {
                assert!(k == Kind::Unknown || k == Kind::Failed);
            }
            if let (Move::Send { look_up, .. }, true, true) = (m, lost, p.writes) {
                assert!(look_up);
            }
            Ok(())
        });
    }
}
