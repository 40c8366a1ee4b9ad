use super::*;
use http_body_util::{Channel, Full};

const READ_BUFFER_BYTES: usize = 8 << 10;

#[tokio::test]
async fn pieces_are_joined_in_order_and_release_their_read_buffers() {
    let (mut sender, body) = Channel::<Bytes>::new(1);
    let read_buffers: Vec<Bytes> = (0..100_u8)
        .map(|byte| Bytes::from(vec![byte; READ_BUFFER_BYTES]))
        .collect();
    let pieces: Vec<Bytes> = read_buffers
        .iter()
        .map(|buffer| buffer.slice(..3))
        .collect();
    let expected = pieces.concat();
    let reading = tokio::spawn(read_whole(body, expected.len()));
    for piece in pieces {
        sender.send_data(piece).await.unwrap();
    }
    tokio::task::yield_now().await;
    assert!(
        read_buffers.iter().all(Bytes::is_unique),
        "the read buffers are held while the body is still arriving"
    );
    drop(sender);
    assert_eq!(reading.await.unwrap().unwrap(), expected);
}

#[tokio::test]
async fn body_longer_than_the_limit_or_cut_off_is_an_error() {
    let full = |text: &'static str| Full::new(Bytes::from(text));
    assert_eq!(read_whole(full("12345"), 5).await.unwrap(), "12345");
    assert_eq!(
        read_whole(full("123456"), 5).await,
        Err(WholeBodyError::TooLong)
    );
    let (mut sender, cut_off) = Channel::<Bytes, &str>::new(1);
    let reading = tokio::spawn(read_whole(cut_off, 5));
    sender.send_data(Bytes::from("1")).await.unwrap();
    sender.abort("connection lost");
    assert_eq!(reading.await.unwrap(), Err(WholeBodyError::Incomplete));
}
