//! The encoding of SWIM's messages, which rejects members that are not among the peers.

use super::peer::Peer;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Encodes SWIM's messages. It rejects members that are not among the peers, whose number bounds what is stored.
#[derive(Clone, Debug)]
pub(super) struct PeerCodec {
    pub(super) peers: BTreeSet<([u8; 4], u16)>,
}

#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeError {
    #[error("SWIM's message can't be read: {0}; compare the gateways' builds")]
    Coding(#[from] postcard::Error),
    #[error(
        "a message of {0}, which is not among the peers: bring the peers of all configurations to one list"
    )]
    UnknownPeer(SocketAddrV4),
}

impl PeerCodec {
    pub(super) fn check_known(&self, peer: &Peer) -> Result<(), DecodeError> {
        match self.peers.contains(&peer.address) {
            true => Ok(()),
            false => Err(DecodeError::UnknownPeer(peer.address())),
        }
    }
}

impl Codec<Peer> for PeerCodec {
    type Error = DecodeError;

    fn encode_header(
        &mut self,
        header: &Header<Peer>,
        buf: impl BufMut,
    ) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Peer>, DecodeError> {
        let header: Header<Peer> = PostcardCodec.decode_header(buf)?;
        self.check_known(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<Peer>,
        buf: impl BufMut,
    ) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Peer>, DecodeError> {
        let member: Member<Peer> = PostcardCodec.decode_member(buf)?;
        self.check_known(member.id())?;
        Ok(member)
    }
}
