//! Encodes and decodes SWIM messages, and rejects messages that name a peer whose address is not configured.

use super::peer::Peer;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// The encoding of SWIM messages, by postcard. Decoding fails for peers at other addresses than the configured ones, so
/// that the number of stored peers is bounded.
#[derive(Clone, Debug)]
pub(super) struct PeerCodec {
    peer_addresses: BTreeSet<SocketAddrV4>,
}

/// The error for a SWIM message that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum CodecError {
    #[error("cannot encode or decode a SWIM message: {0}; compare the gateways' builds")]
    Coding(#[from] postcard::Error),
    #[error(
        "SWIM message names peer {0}, which is not configured: configure the same list of peers on all gateways"
    )]
    UnknownPeer(SocketAddrV4),
}

impl PeerCodec {
    /// Returns a codec that accepts the peers at these addresses.
    pub(super) fn new(peer_addresses: BTreeSet<SocketAddrV4>) -> PeerCodec {
        PeerCodec { peer_addresses }
    }

    /// Returns [`CodecError::UnknownPeer`] if the peer's address is not configured.
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
