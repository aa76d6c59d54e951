package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// ClientSettings describe one request and its limits.
type ClientSettings struct {
	Request btid.Request
	Claim   Claim
	Content btbundle.Digest
	// Epoch is the current one in the entry's bundle.
	Epoch btbundle.HomeEpoch
	// MaxAttempts limits the grants that are tried, MaxAsks the messages to homes.
	MaxAttempts int
	MaxAsks     uint32
}

// ClientEvent is an input of a Client: one of the events below, or an AcquireReply or
// Refused message.
type ClientEvent interface{ clientEvent() }

// ClientStarted is the first event of a Client.
type ClientStarted struct{}

// ExecutorChosen answers ChooseExecutor; the zero Executor means that none is
// available.
type ExecutorChosen struct{ Executor btid.Executor }

// HomeTimedOut reports that the home didn't answer the message with this number in
// time.
type HomeTimedOut struct{ Ask uint32 }

// AnswerReceived reports that the executor's whole answer to the grant has arrived.
type AnswerReceived struct{ Attempt uint32 }

// RunInProgress reports that the executor is running the claim for an earlier
// request.
type RunInProgress struct{ Attempt uint32 }

// ExecutorLost reports that contact with the executor was lost after the grant was
// sent, so that the claim may have run.
type ExecutorLost struct{ Attempt uint32 }

func (ClientStarted) clientEvent()  {}
func (ExecutorChosen) clientEvent() {}
func (AcquireReply) clientEvent()   {}
func (HomeTimedOut) clientEvent()   {}
func (AnswerReceived) clientEvent() {}
func (RunInProgress) clientEvent()  {}
func (Refused) clientEvent()        {}
func (ExecutorLost) clientEvent()   {}

// ClientEffect is an action that a Client asks its caller to carry out.
type ClientEffect interface{ clientEffect() }

// ChooseExecutor asks the router for an executor at a target that isn't excluded.
type ChooseExecutor struct{ Exclude []btid.Target }

// SendAcquire sends an Acquire to a home.
type SendAcquire struct {
	To      btid.Target
	Message Acquire
}

// SendRelease sends a Release to a home.
type SendRelease struct {
	To      btid.Target
	Message Release
}

// SendRequest sends the request with its grant to the executor that the grant names.
type SendRequest struct{ Grant Grant }

// Result is the final outcome. A not_run must be forwarded immediately, because it
// is valid only for a limited time.
type Result struct {
	Outcome    btrequest.Outcome
	Reason     btrequest.Reason
	RetryAfter time.Duration
}

func (ChooseExecutor) clientEffect() {}
func (SendAcquire) clientEffect()    {}
func (SendRelease) clientEffect()    {}
func (SendRequest) clientEffect()    {}
func (Result) clientEffect()         {}

// stage is the progress of a Client.
type stage uint8

const (
	stageNew stage = iota
	stageChoosing
	stageAcquiring
	stageRunning
	stageDone
)

// Client takes one keyed request to its final outcome. It reports not_run only on the
// home's reply, and only while that reply is valid.
type Client struct {
	settings ClientSettings
	clock    clock
	stage    stage
	accepted time.Time
	home     btid.Target
	executor btid.Executor
	sealed   *Sealed
	grant    Grant
	ask      uint32
	sentAt   time.Time
	attempts int
	exclude  []btid.Target
	// refusal is the reason of the last executor's refusal.
	refusal    btrequest.Reason
	retryAfter time.Duration
}

var _ btcore.Machine[ClientEvent, ClientEffect] = (*Client)(nil)

// NewClient returns the client of one request; its first event must be ClientStarted.
func NewClient(s ClientSettings) *Client {
	home, _ := HomeOf(s.Epoch, s.Claim)
	return &Client{settings: s, home: home}
}

// Step applies one event. Invalid messages and late answers to earlier steps are
// ignored.
func (c *Client) Step(now time.Time, event ClientEvent) []ClientEffect {
	c.clock.advance(now)
	if m, ok := event.(interface{ Validate() error }); ok && m.Validate() != nil {
		return nil
	}
	switch e := event.(type) {
	case ClientStarted:
		return c.begin()
	case ExecutorChosen:
		return c.handleChosen(e.Executor)
	case AcquireReply:
		return c.handleReply(e)
	case HomeTimedOut:
		return c.handleTimeout(e)
	case AnswerReceived:
		return c.finishRun(e.Attempt, Result{Outcome: btrequest.Done})
	case RunInProgress:
		return c.finishRun(e.Attempt, Result{Outcome: btrequest.Unknown, Reason: InProgressElsewhere})
	case ExecutorLost:
		return c.finishRun(e.Attempt, Result{Outcome: btrequest.Unknown, Reason: ExecutorUnreachable})
	case Refused:
		return c.handleRefused(e)
	}
	return nil
}

func (c *Client) begin() []ClientEffect {
	if c.stage != stageNew {
		return nil
	}
	c.accepted = c.clock.wall
	if c.home == "" {
		return c.finish(Result{Outcome: btrequest.Unknown, Reason: NoHome})
	}
	return c.chooseExecutor()
}

func (c *Client) chooseExecutor() []ClientEffect {
	c.stage = stageChoosing
	return []ClientEffect{ChooseExecutor{Exclude: slices.Clone(c.exclude)}}
}

func (c *Client) finish(e Result) []ClientEffect {
	c.stage = stageDone
	return []ClientEffect{e}
}

func (c *Client) handleChosen(e btid.Executor) []ClientEffect {
	if c.stage != stageChoosing {
		return nil
	}
	c.executor = e
	return c.sendToHome()
}

// sendToHome sends an Acquire, or a Release if the last grant was sealed.
func (c *Client) sendToHome() []ClientEffect {
	if c.ask >= c.settings.MaxAsks {
		return c.finish(Result{Outcome: btrequest.Unknown, Reason: HomeUnreachable, RetryAfter: time.Second})
	}
	c.ask++
	c.stage = stageAcquiring
	c.sentAt = c.clock.now
	if c.sealed != nil {
		return []ClientEffect{SendRelease{To: c.home, Message: Release{
			Request: c.settings.Request,
			Ask:     c.ask,
			Content: c.settings.Content,
			Sealed:  *c.sealed,
			Next:    c.executor,
		}}}
	}
	return []ClientEffect{SendAcquire{To: c.home, Message: Acquire{
		Request:  c.settings.Request,
		Ask:      c.ask,
		Claim:    c.settings.Claim,
		Content:  c.settings.Content,
		Executor: c.executor,
		Accepted: c.accepted,
	}}}
}

func (c *Client) handleTimeout(e HomeTimedOut) []ClientEffect {
	if c.stage != stageAcquiring || e.Ask != c.ask {
		return nil
	}
	return c.sendToHome()
}

func (c *Client) handleReply(r AcquireReply) []ClientEffect {
	if c.stage != stageAcquiring || r.Ask != c.ask || r.Request != c.settings.Request {
		return nil
	}
	if r.Grant != nil {
		return c.handleGrant(*r.Grant)
	}
	if r.Reason == NotHome && r.Home != "" && r.Home != c.home {
		c.home = r.Home
		c.sealed = nil
		return c.sendToHome()
	}
	return c.finishRefused(r)
}

func (c *Client) handleGrant(g Grant) []ClientEffect {
	if g.Claim != c.settings.Claim || g.Content != c.settings.Content {
		return c.finish(Result{Outcome: btrequest.Unknown, Reason: KeyReused})
	}
	if c.attempts >= c.settings.MaxAttempts {
		return c.finish(Result{Outcome: btrequest.Unknown, Reason: c.refusal, RetryAfter: c.retryAfter})
	}
	c.attempts++
	c.grant = g
	c.stage = stageRunning
	return []ClientEffect{SendRequest{Grant: g}}
}

// finishRefused reports the home's refusal. A not_run is valid for r.Hold less the
// clock margin, counted from before the message was sent. After that the home may
// have granted the claim, and the outcome is unknown.
func (c *Client) finishRefused(r AcquireReply) []ClientEffect {
	e := Result{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: max(r.RetryAfter, c.retryAfter)}
	if e.Reason == NoExecutor && c.refusal != "" {
		e.Reason = c.refusal
	}
	if e.Outcome == btrequest.NotRun && c.clock.elapsed(c.sentAt) >= withClockMargin(r.Hold) {
		e.Outcome = btrequest.Unknown
		e.Reason = EvidenceStale
	}
	return c.finish(e)
}

// finishRun ends the request with the outcome of the run in progress.
func (c *Client) finishRun(attempt uint32, e Result) []ClientEffect {
	if c.stage != stageRunning || attempt != c.grant.Attempt {
		return nil
	}
	if e.Outcome != btrequest.Done {
		e.RetryAfter = time.Second
	}
	return c.finish(e)
}

// handleRefused retries on another executor if the refusal has a matching seal.
// Without one the claim may have run.
func (c *Client) handleRefused(r Refused) []ClientEffect {
	if c.stage != stageRunning || r.Claim != c.settings.Claim || r.Attempt != c.grant.Attempt {
		return nil
	}
	c.refusal = r.Reason
	c.retryAfter = r.RetryAfter
	if r.Sealed == nil || !r.Sealed.matches(c.grant) {
		return c.finish(Result{Outcome: btrequest.Unknown, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	c.sealed = r.Sealed
	if r.Sealed.By == c.grant.Executor {
		c.exclude = append(c.exclude, c.grant.Executor.Target)
	}
	if c.attempts < c.settings.MaxAttempts {
		return c.chooseExecutor()
	}
	c.executor = btid.Executor{}
	return c.sendToHome()
}
