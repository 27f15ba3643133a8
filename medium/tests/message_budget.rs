//! The budget of bytes that the messages of all sessions share.

use medium::message_budget::{Exhausted, MessageBudget, Share};
use std::time::{Duration, Instant};

const MIB: usize = 1 << 20;
/// Memory of which the budget is two messages of the largest size: the least.
const SMALL_MEMORY: u64 = 16 << 20;
/// A refusal comes within this.
const AT_ONCE: Duration = Duration::from_secs(1);

#[tokio::test]
async fn small_messages_are_free() {
    let budget = MessageBudget::of_memory(SMALL_MEMORY);
    let mut shares: Vec<Share> = (0..1_000).map(|_| Share::default()).collect();
    for share in &mut shares {
        assert_eq!(budget.cover(share, 16 << 10).await, Ok(()));
        assert!(share.is_empty());
    }
}

/// Guards against shares that together exceed the budget.
#[tokio::test]
async fn what_is_beyond_the_budget_is_refused_soon() {
    let budget = MessageBudget::of_memory(SMALL_MEMORY);
    let mut taken = [Share::default(), Share::default()];
    for share in &mut taken {
        assert_eq!(budget.cover(share, MIB).await, Ok(()));
    }
    let began = Instant::now();
    let mut third = Share::default();
    assert_eq!(budget.cover(&mut third, MIB).await, Err(Exhausted));
    assert!(began.elapsed() < AT_ONCE);
    assert!(third.is_empty(), "a refused session holds nothing");
    assert_eq!(
        budget.cover(&mut taken[0], MIB).await,
        Ok(()),
        "as large as before"
    );
}

/// Guards against a budget that leaks: what is dropped can be taken again, any number of times.
#[tokio::test]
async fn what_goes_back_is_there_for_others() {
    let budget = MessageBudget::of_memory(SMALL_MEMORY);
    for _ in 0..100 {
        let mut growing = Share::default();
        for bytes in [100_000, 300_000, MIB, 2 * MIB] {
            assert_eq!(budget.cover(&mut growing, bytes).await, Ok(()));
        }
    }
}

#[tokio::test]
async fn a_session_waits_for_one_that_is_about_to_end() {
    let budget = MessageBudget::of_memory(SMALL_MEMORY);
    let mut all = Share::default();
    assert_eq!(budget.cover(&mut all, 2 * MIB).await, Ok(()));
    let (own, mut share) = (budget.clone(), Share::default());
    let waiting = async { own.cover(&mut share, MIB).await };
    let ending = async {
        tokio::task::yield_now().await;
        drop(all);
    };
    assert_eq!(tokio::join!(waiting, ending).0, Ok(()));
}
