//! Differences between documents: they lead to the new one from the old one and from no other.
#![cfg(not(loom))]
use arbtest::arbtest;
use speedy::Writable;
use tenet::document::Document;
use tenet::document_delta::{DocumentDelta, WrongBase};

fn bytes(delta: &DocumentDelta) -> usize {
    delta.write_to_vec().unwrap().len()
}

#[test]
fn a_difference_makes_the_new_document_out_of_the_old_one() {
    arbtest(|u| {
        let words = [
            "route",
            "é",
            "{\"limit\":500}",
            " ",
            "a longer piece of the document, with text",
        ];
        let mut draw = |most: usize| -> arbtest::arbitrary::Result<Vec<&str>> {
            (0..u.int_in_range(0..=most)?)
                .map(|_| u.choose(&words).copied())
                .collect()
        };
        let pieces = draw(40)?;
        let (cut, more) = (draw(40)?.len().min(pieces.len()), draw(6)?);
        let old = Document::new(&pieces.concat());
        let new = [&pieces[..cut], &more[..], &pieces[cut..]]
            .concat()
            .concat();
        let moved = [&pieces[cut..], &more[..], &pieces[..cut]]
            .concat()
            .concat();
        for text in [new, moved, String::new()] {
            let delta = DocumentDelta::between(&old, &text);
            assert_eq!(delta.apply(&old), Ok(Document::new(&text)));
            let other = Document::new(&format!("{}.", &*old));
            assert_eq!(delta.apply(&other), Err(WrongBase));
        }
        Ok(())
    });
}

#[test]
fn the_difference_grows_with_the_change_and_not_with_the_document() {
    let document = |routes: usize, limit: usize| -> String {
        let one = |i: usize| {
            format!(
                "\"route-{i}\":{{\"limit\":{}}},",
                if i == 5 { limit } else { i }
            )
        };
        (0..routes).map(one).collect()
    };
    for routes in [10, 100, 1000, 10_000] {
        let text = |limit| document(routes, limit) + &document(routes, limit);
        let delta = DocumentDelta::between(&Document::new(&text(500)), &text(1700));
        println!(
            "{routes} routes, {} bytes: {} bytes",
            text(500).len(),
            bytes(&delta)
        );
        assert!(bytes(&delta) < 300, "{} bytes", bytes(&delta));
    }
}
