//! The way of one dispatch: its start, asking for it, its pages, giving it up.

use super::call::{Call, Ended, Start, Statement, Tidings, Wish};
use super::outgoing::{path, request, Outgoing, Sender};
use super::reply::{exchange, news, Fault, News, Reply, MEMORY, THIS_PAGE, WORK};
use super::{Engines, Target, LONGER, NEWS};
use crate::rows;
use crate::sockets::{Abandoned, Gate};
use bytes::Bytes;
use garnetwall::api::End;
use garnetwall_bodies::body::ReadFault;
use garnetwall_bodies::Reader;
use garnetwall_ledger as ledger;
use garnetwall_ledger::{Asking, Connection, DispatchId, Fact, Next, Step};
use http::header::CONTENT_LENGTH;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::channel::{Channel, Sender as BodySender};
use http_body_util::{Either, Full};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

/// Protocol: names of the fields.
const ID: HeaderName = HeaderName::from_static("x-trace");
const GROUP: HeaderName = HeaderName::from_static("x-profile");
const PATIENCE: HeaderName = HeaderName::from_static("x-patience");
const MARK: HeaderName = HeaderName::from_static("x-op-key");

/// The way of one dispatch to its engine: a connection at a time, used by no other batch and given up with
/// whatever was spoilt on it.
pub(super) struct Way<'a> {
    pub(super) engines: &'a Engines,
    pub(super) target: Target,
    /// None for a probe.
    pub(super) dispatch: Option<DispatchId>,
    pub(super) sender: Option<Sender>,
    /// Of the connection that is up, or was last.
    pub(super) abandoned: Abandoned,
    /// What its start goes out through; none for a probe.
    pub(super) gate: Option<Arc<Gate>>,
    /// Its start has come whole by then or is not sent, where that is before its batch's end.
    pub(super) comes_by: Option<Instant>,
    /// Its start may have come whole.
    pub(super) may_have_come: bool,
    /// Its body could not be read to its end.
    pub(super) unreadable: bool,
    /// The number of the connection that is up, or was last.
    pub(super) connection: Connection,
    /// The last call was not answered: the next is given more time, in case the engine is only slow.
    pub(super) silent: bool,
}

/// A body on its way to an engine.
pub(super) struct Feed {
    reader: Reader,
    length: Option<u64>,
    out: BodySender<Bytes, ReadFault>,
}

/// How asking for a dispatch ends.
enum Heard {
    /// A good end: the answer that tells so, and its number of pages.
    Good(Reply, usize),
    Over(Ended),
    /// Asking can't tell any more.
    InDoubt,
    /// Nobody waits for the answer any more.
    Unwanted,
}

impl Way<'_> {
    pub(super) async fn live(
        &mut self,
        call: &Call,
        start: Start,
        mut wishes: watch::Receiver<Wish>,
        tidings: Tidings,
    ) -> Ended {
        let told = self.end(call, start, &mut wishes, &tidings).await;
        let end = match told {
            Heard::Good(..) if *wishes.borrow() == Wish::Over => End::Withdrawn,
            Heard::Good(first, pages) => return self.fetch(call, first, pages).await,
            Heard::Over(ended) => return ended,
            Heard::InDoubt => {
                tidings.doubt.send_replace(Some(End::Broken));
                self.give_up(call).await;
                End::Broken
            }
            Heard::Unwanted => match (self.give_up(call).await, *wishes.borrow()) {
                // Its batch was over before it could be started: that says nothing of the engine.
                (ledger::Proof::NeverCame, Wish::Over | Wish::Begun) => End::Moot,
                (ledger::Proof::NeverCame, _) => End::Unconnected,
                _ => End::Withdrawn,
            },
        };
        Ended::of(end)
    }

    /// The call that starts a dispatch, and the body that goes with it; none where that is not there any more.
    fn starting(&self, call: &Call, start: &Start) -> Option<(Request<Outgoing>, Option<Feed>)> {
        let Start { further, until, .. } = *start;
        let mut request = request(Method::POST, self.target.address, "/c");
        let gate = self.gate.clone();
        let feed = match &call.statement {
            Statement::Whole(bytes) => {
                let left = Some(bytes.len() as u64);
                *request.body_mut() =
                    Outgoing { carried: Either::Left(Full::new(bytes.clone())), left, gate };
                None
            }
            Statement::Streamed(body) => {
                let reader = body.reader(further).ok()?;
                let (out, stream) = Channel::new(1);
                *request.body_mut() = Outgoing { carried: Either::Right(stream), left: body.length(), gate };
                if let Some(length) = body.length() {
                    request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                Some(Feed { reader, length: body.length(), out })
            }
        };
        let head = request.headers_mut();
        head.insert(ID, call.id.clone());
        head.insert(GROUP, call.group.clone());
        if let Some(mark) = &call.mark {
            head.insert(MARK, mark.clone());
        }
        let patience = until.saturating_duration_since(Instant::now()).as_secs_f64();
        head.insert(PATIENCE, HeaderValue::from((patience * 1000.0).max(1.0) as u64));
        Some((request, feed))
    }

    fn asking(&self, call: &Call, page: usize) -> Request<Outgoing> {
        request(Method::GET, self.target.address, &path(call, Some(page)))
    }

    /// How long news may take once a connection is up.
    fn patience(&self) -> Duration {
        NEWS + if self.silent { self.engines.dial * 2 } else { LONGER }
    }

    fn tell(&self, fact: Fact) {
        if let Some(id) = self.dispatch {
            self.engines.ledger().tell(self.engines.now(), id, fact);
        }
    }

    /// Whether it is not proved that the dispatch does not run any more.
    fn may_run(&self) -> bool {
        self.dispatch.is_some_and(|id| self.engines.ledger().may_run_until(id).is_some())
    }

    fn asked_on(&self) -> Asking {
        Asking::new(self.engines.now(), self.engines.bounds, self.engines.dial)
    }

    /// The answer that tells of a good end, and its number of pages; or how it ended otherwise. A start that was
    /// not answered may have come whole all the same, and a good end is given again: asking tells.
    async fn end(
        &mut self,
        call: &Call,
        start: Start,
        wishes: &mut watch::Receiver<Wish>,
        tidings: &Tidings,
    ) -> Heard {
        let mut asking = self.asked_on();
        let Some((mut next, mut feed)) = self.starting(call, &start) else {
            self.tell(Fact::NeverCame);
            return Heard::Over(Ended::of(End::Unconnected));
        };
        let mut started = false;
        loop {
            let Some(answer) = self.wanted(next, feed.take(), wishes).await else { return Heard::Unwanted };
            let first = !std::mem::replace(&mut started, true);
            if std::mem::take(&mut self.unreadable) {
                // What went on is not whole, so that nothing ran; the batch has no body any more.
                self.tell(Fact::NeverCame);
                return Heard::Over(Ended::of(End::Errored));
            }
            if first && answer.is_err() && self.gate.as_ref().is_some_and(|gate| gate.is_stopped()) {
                // It was stopped at its last bytes, before who wished so was heard.
                self.tell(Fact::NeverCame);
                let elsewhere = *wishes.borrow() == Wish::Back || !self.engines.list().takes(self.target);
                return Heard::Over(Ended::of(if elsewhere { End::Unconnected } else { End::Moot }));
            }
            if first && answer.is_err() && !self.may_have_come {
                self.tell(Fact::NeverCame);
                return Heard::Over(Ended::of(End::Unconnected));
            }
            let told = match answer {
                Ok(reply) => match news(&reply) {
                    News::Good(pages) => {
                        self.tell(Fact::Ended);
                        return Heard::Good(reply, pages);
                    }
                    News::Over(end) => {
                        self.tell(if first { Fact::Ended } else { Fact::Failed(self.connection) });
                        let end = match ledger::weigh(first, end == End::Errored, !self.may_run()) {
                            ledger::Verdict::AsTold => end,
                            ledger::Verdict::CutShort => End::Broken,
                            ledger::Verdict::InDoubt => return Heard::InDoubt,
                        };
                        return Heard::Over(Ended { report: reply.report(), ..Ended::of(end) });
                    }
                    News::NotYet(note) => {
                        self.tell(Fact::Runs(self.connection));
                        if note.is_some() {
                            tidings.note.send_replace(note);
                        }
                        Ok(())
                    }
                    News::Garbled => Err(Fault::Garbled),
                },
                Err(fault) => Err(fault),
            };
            if !wishes.borrow().asks() {
                self.drop_after(told);
                return Heard::Unwanted;
            }
            if !self.ask_on(&mut asking, told).await {
                return Heard::InDoubt;
            }
            next = self.asking(call, 0);
        }
    }

    /// One call, which is let end for as long as news is held back where nobody waits for it any more; none where
    /// it has not ended then. A start is not: what the machine has not sent of it, or what has not come, would come after the
    /// batch's answer.
    async fn wanted(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<Feed>,
        wishes: &mut watch::Receiver<Wish>,
    ) -> Option<Result<Reply, Fault>> {
        let within = self.patience();
        let is_start = request.method() == Method::POST;
        let gate = self.gate.clone();
        let stops = || gate.as_ref().is_some_and(|gate| gate.stop());
        let comes_by = self.comes_by;
        let too_late = async {
            match comes_by {
                Some(by) => sleep_until(by.into()).await,
                None => std::future::pending().await,
            }
        };
        // It fails only with who wished gone, who waits for this.
        let unwanted = async {
            tokio::select! {
                _ = wishes.wait_for(|wish| *wish != Wish::Answer) => {}
                () = too_late => {}
            }
            if !stops() {
                let _ = wishes.wait_for(|wish| !wish.asks()).await;
            }
        };
        let answer = {
            let calling = self.call(request, feed, within, true);
            tokio::pin!(calling);
            tokio::select! {
                biased;
                answer = &mut calling => Some(answer),
                () = unwanted => match stops() || is_start && *wishes.borrow() == Wish::Over {
                    true => None,
                    false => timeout(NEWS, calling).await.ok(),
                },
            }
        };
        if answer.is_none() {
            // Whatever comes there yet would be taken for the next call's answer.
            self.abandoned.set();
            self.sender = None;
            self.tell(Fact::Useless(self.connection));
            if stops() {
                self.tell(Fact::NeverCame);
            }
        }
        answer
    }

    /// The pages after the first, so that a lost one is still an outcome.
    async fn fetch(&mut self, call: &Call, first: Reply, pages: usize) -> Ended {
        let mut ended = Ended {
            work: first.number(WORK).map(|ms| ms / 1000.0).filter(|v| *v > 0.0),
            memory: first.number(MEMORY).filter(|v| *v > 0.0),
            report: first.report(),
            ..Ended::of(End::Returned)
        };
        ended.pages.push(first.body);
        let mut asking = self.asked_on();
        for page in 1..pages {
            let mut told = Ok(());
            loop {
                if !self.ask_on(&mut asking, told).await {
                    return Ended { end: End::Broken, ..ended };
                }
                told = match self.call(self.asking(call, page), None, self.patience(), true).await {
                    Ok(r) if r.status == StatusCode::INTERNAL_SERVER_ERROR => {
                        tracing::debug!(engine = self.target.engine, page, "page lost");
                        return Ended { end: End::Errored, ..ended };
                    }
                    Ok(r) if r.number(THIS_PAGE) == Some(page as f64) && rows::whole(&r.body) => {
                        ended.pages.push(r.body);
                        break;
                    }
                    Ok(_) => Err(Fault::Garbled),
                    Err(fault) => Err(fault),
                };
            }
        }
        ended
    }

    /// After what came of the last call, waits until asking may go on; whether it may.
    async fn ask_on(&mut self, asking: &mut Asking, told: Result<(), Fault>) -> bool {
        let now = self.engines.now();
        let step = match told {
            Ok(()) => asking.heard(now),
            Err(fault) => asking.lost(now, fault.lost()),
        };
        self.drop_after(told);
        match step {
            Step::Ask(after) => {
                if !after.is_zero() {
                    sleep(after).await;
                }
                true
            }
            Step::Stop => false,
        }
    }

    /// A connection that something spoilt came over is of no further use.
    fn drop_after(&mut self, told: Result<(), Fault>) {
        if told == Err(Fault::Garbled) {
            self.sender = None;
            self.tell(Fact::Useless(self.connection));
        }
    }

    /// Has the engine give the dispatch up, on the connection that it was asked on as long as that is of use;
    /// until it is proved that it does not run any more.
    async fn give_up(&mut self, call: &Call) -> ledger::Proof {
        let Some(id) = self.dispatch else { return ledger::Proof::NeverCame };
        let engine = self.target.engine;
        loop {
            let next = self.engines.ledger().next(self.engines.now(), id);
            match next {
                Next::Over(proof) => {
                    tracing::debug!(engine, id = path(call, None), ?proof, "given up");
                    return proof;
                }
                Next::Wait(span) => sleep(span).await,
                Next::FindOut => {
                    if self.finds_out(call).await.is_err_and(|fault| fault != Fault::Refused) {
                        self.tell(Fact::Missed);
                    }
                }
                Next::GiveUp(left) => {
                    let delete = request(Method::DELETE, self.target.address, &path(call, None));
                    let within = left.min(self.engines.dial * 2);
                    match self.call(delete, None, within, false).await {
                        // An engine that does not know it says so by the second.
                        Ok(r)
                            if [StatusCode::NO_CONTENT, StatusCode::INTERNAL_SERVER_ERROR]
                                .contains(&r.status) =>
                        {
                            self.tell(Fact::GivenUp(self.connection));
                        }
                        Ok(_) => {
                            self.drop_after(Err(Fault::Garbled));
                            self.tell(Fact::Missed);
                        }
                        Err(fault) => {
                            tracing::debug!(engine, id = path(call, None), ?fault, "not given up yet");
                            if fault != Fault::Refused {
                                self.tell(Fact::Missed);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Asks who listens there now whether it has the dispatch.
    async fn finds_out(&mut self, call: &Call) -> Result<(), Fault> {
        let reply = self.call(self.asking(call, 0), None, self.patience(), true).await?;
        match news(&reply) {
            News::NotYet(_) => self.tell(Fact::Runs(self.connection)),
            News::Good(_) => self.tell(Fact::Ended),
            News::Over(_) => self.tell(Fact::Failed(self.connection)),
            News::Garbled => {
                self.drop_after(Err(Fault::Garbled));
                return Err(Fault::Garbled);
            }
        }
        Ok(())
    }

    /// One call, on a connection that is up or comes up within its own bound. `asks` for one that keeps its dispatch
    /// running.
    pub(super) async fn call(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<Feed>,
        within: Duration,
        asks: bool,
    ) -> Result<Reply, Fault> {
        let answer = self.bounded(request, feed, within, asks).await;
        self.silent = matches!(answer, Err(Fault::Silent));
        self.engines.heard(self.target, answer.as_ref().err());
        match answer {
            Err(Fault::Refused) => self.tell(Fact::Refused),
            Err(Fault::Broken) => self.tell(Fact::Reset(self.connection)),
            Err(Fault::Silent | Fault::Garbled) => {
                self.abandoned.set();
                self.tell(Fact::Useless(self.connection));
            }
            Err(Fault::Unconnected) | Ok(_) => {}
        }
        answer
    }

    async fn bounded(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<Feed>,
        within: Duration,
        asks: bool,
    ) -> Result<Reply, Fault> {
        let is_start = request.method() == Method::POST;
        let up = self.sender.take();
        if up.as_ref().is_some_and(|sender| sender.is_closed()) {
            self.tell(Fact::Reset(self.connection));
        }
        let mut sender = match up.filter(|s| !s.is_closed()) {
            Some(sender) => sender,
            None => {
                self.connection += 1;
                let gate = self.gate.clone().filter(|_| is_start);
                let (sender, abandoned) = self.engines.connect(self.target.address, gate).await?;
                self.abandoned = abandoned;
                sender
            }
        };
        if let Some(gate) = &self.gate {
            if is_start {
                gate.begins();
            } else {
                gate.passed();
            }
        }
        let Some(feed) = feed else {
            if asks {
                self.comes();
            }
            let answer = timeout(within, exchange(&mut sender, request)).await.unwrap_or(Err(Fault::Silent));
            self.sender = answer.is_ok().then_some(sender);
            return answer;
        };
        let answer = self.streamed(&mut sender, request, feed, within).await;
        // What was not sent to its end leaves a connection of no use.
        self.sender = (answer.is_ok() && self.may_have_come).then_some(sender);
        answer
    }

    /// A start whose body goes on as it comes. It takes as long as the body, which its batch's limit bounds; the answer
    /// may come before the body is sent.
    async fn streamed(
        &mut self,
        sender: &mut Sender,
        request: Request<Outgoing>,
        feed: Feed,
        within: Duration,
    ) -> Result<Reply, Fault> {
        let exchanging = exchange(sender, request);
        tokio::pin!(exchanging);
        let fed = tokio::select! {
            biased;
            answer = &mut exchanging => return answer,
            fed = self.feed(feed) => fed,
        };
        match fed {
            Ok(()) => timeout(within, exchanging).await.unwrap_or(Err(Fault::Silent)),
            Err(fault) => {
                tracing::debug!(%fault, "a body could not be sent to its end");
                self.unreadable = !matches!(fault, ReadFault::CutOff);
                Err(Fault::Broken)
            }
        }
    }

    /// The last byte of a call that keeps its dispatch running is on its way.
    fn comes(&mut self) {
        self.may_have_come = true;
        self.tell(Fact::Asked);
    }

    async fn feed(&mut self, feed: Feed) -> Result<(), ReadFault> {
        let Feed { mut reader, length, mut out } = feed;
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    // Only a call that has come whole is one that may run.
                    if length == Some(reader.at()) {
                        self.comes();
                    }
                    if out.send_data(bytes).await.is_err() {
                        // The engine hears no more of it: its answer, or the broken connection, tells why.
                        std::future::pending::<()>().await;
                    }
                }
                Ok(None) => {
                    self.comes();
                    return Ok(());
                }
                Err(fault) => {
                    out.abort(ReadFault::CutOff);
                    return Err(fault);
                }
            }
        }
    }
}
