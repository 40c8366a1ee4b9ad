//! The encoding of SWIM's messages, which rejects peers at addresses that are not configured.

use super::peer::Peer;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Encodes SWIM's messages. It rejects peers at other addresses than these, whose number bounds what is stored.
#[derive(Clone, Debug)]
pub(super) struct PeerCodec {
    peer_addresses: BTreeSet<SocketAddrV4>,
}

/// Why a SWIM message is not encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum CodecError {
    #[error("SWIM's message can't be read: {0}; compare the gateways' builds")]
    Coding(#[from] postcard::Error),
    #[error(
        "a message of {0}, which is not among the peers: bring the peers of all configurations to one list"
    )]
    UnknownPeer(SocketAddrV4),
}

impl PeerCodec {
    /// A codec for the gateways at these addresses.
    pub(super) fn new(peer_addresses: BTreeSet<SocketAddrV4>) -> PeerCodec {
        PeerCodec { peer_addresses }
    }

    /// Fails where the peer's address is not configured.
    pub(super) fn check_known(&self, peer: &Peer) -> Result<(), CodecError> {
        let address = peer.address();
        match self.peer_addresses.contains(&address) {
            true => Ok(()),
            false => Err(CodecError::UnknownPeer(address)),
        }
    }
}

impl Codec<Peer> for PeerCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Peer>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Peer>, CodecError> {
        let header: Header<Peer> = PostcardCodec.decode_header(buf)?;
        self.check_known(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Peer>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Peer>, CodecError> {
        let member: Member<Peer> = PostcardCodec.decode_member(buf)?;
        self.check_known(member.id())?;
        Ok(member)
    }
}
