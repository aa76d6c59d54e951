package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// ClientSettings are one request's identity and limits.
type ClientSettings struct {
	Request btid.Request
	Claim   Claim
	Content btbundle.Digest
	// Epoch is the one in force at the entry's bundle.
	Epoch btbundle.HomeEpoch
	// MaxAttempts bounds the executors tried, MaxAsks the questions to homes.
	MaxAttempts int
	MaxAsks     uint32
}

// ClientEvent is what happens to a Client.
type ClientEvent interface{ clientEvent() }

// ClientStarted starts the flow.
type ClientStarted struct{}

// ExecutorChosen answers ChooseExecutor; the zero Executor says that there is none.
type ExecutorChosen struct{ Executor btid.Executor }

// HomeTimedOut tells that the home didn't answer the numbered ask in time.
type HomeTimedOut struct{ Ask uint32 }

// AnswerReceived tells that the executor's whole answer to the grant came.
type AnswerReceived struct{ Attempt uint32 }

// RunInProgress tells that the executor runs the claim for an earlier request.
type RunInProgress struct{ Attempt uint32 }

// ExecutorLost tells that contact was lost after the grant was sent.
type ExecutorLost struct{ Attempt uint32 }

func (ClientStarted) clientEvent()  {}
func (ExecutorChosen) clientEvent() {}
func (AcquireReply) clientEvent()   {}
func (HomeTimedOut) clientEvent()   {}
func (AnswerReceived) clientEvent() {}
func (RunInProgress) clientEvent()  {}
func (Refused) clientEvent()        {}
func (ExecutorLost) clientEvent()   {}

// ClientEffect is what a Client wants done.
type ClientEffect interface{ clientEffect() }

// ChooseExecutor asks the router for an executor, none of the excluded targets.
type ChooseExecutor struct{ Exclude []btid.Target }

// SendAcquire sends the message to the home.
type SendAcquire struct {
	To      btid.Target
	Message Acquire
}

// SendRelease sends the message to the home.
type SendRelease struct {
	To      btid.Target
	Message Release
}

// SendRequest sends the request with its grant to the executor that it names.
type SendRequest struct{ Grant Grant }

// Result is the final outcome. A not_run is to be told at once.
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

// stage is what a client waits for.
type stage uint8

const (
	stageNew stage = iota
	stageChoosing
	stageAsking
	stageServing
	stageEnded
)

// Client leads one keyed request to its final outcome. The outcome not_run is
// told only on the home's answer, and only while that answer is good.
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
	// refusal is why the last executor refused.
	refusal    btrequest.Reason
	retryAfter time.Duration
}

var _ btcore.Machine[ClientEvent, ClientEffect] = (*Client)(nil)

// NewClient returns the flow of one request; its first event is ClientStarted.
func NewClient(s ClientSettings) *Client {
	home, _ := HomeOf(s.Epoch, s.Claim)
	return &Client{settings: s, home: home}
}

// Step applies one event. Late answers to earlier steps change nothing.
func (c *Client) Step(now time.Time, event ClientEvent) []ClientEffect {
	c.clock.read(now)
	if m, ok := event.(interface{ Validate() error }); ok && m.Validate() != nil {
		return nil
	}
	switch e := event.(type) {
	case ClientStarted:
		return c.begin()
	case ExecutorChosen:
		return c.chosen(e.Executor)
	case AcquireReply:
		return c.answered(e)
	case HomeTimedOut:
		return c.homeSilent(e)
	case AnswerReceived:
		return c.serving(e.Attempt, Result{Outcome: btrequest.Done})
	case RunInProgress:
		return c.serving(e.Attempt, Result{Outcome: btrequest.Unknown, Reason: InProgressElsewhere})
	case ExecutorLost:
		return c.serving(e.Attempt, Result{Outcome: btrequest.Unknown, Reason: ExecutorUnreachable})
	case Refused:
		return c.refused(e)
	}
	return nil
}

func (c *Client) begin() []ClientEffect {
	if c.stage != stageNew {
		return nil
	}
	c.accepted = c.clock.wall
	if c.home == "" {
		return c.end(Result{Outcome: btrequest.Unknown, Reason: NoHome})
	}
	return c.choose()
}

func (c *Client) choose() []ClientEffect {
	c.stage = stageChoosing
	return []ClientEffect{ChooseExecutor{Exclude: slices.Clone(c.exclude)}}
}

func (c *Client) end(e Result) []ClientEffect {
	c.stage = stageEnded
	return []ClientEffect{e}
}

func (c *Client) chosen(e btid.Executor) []ClientEffect {
	if c.stage != stageChoosing {
		return nil
	}
	c.executor = e
	return c.send()
}

// send asks the home, with the seal of the last grant if there is one.
func (c *Client) send() []ClientEffect {
	if c.ask >= c.settings.MaxAsks {
		return c.end(Result{Outcome: btrequest.Unknown, Reason: HomeUnreachable, RetryAfter: time.Second})
	}
	c.ask++
	c.stage = stageAsking
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

func (c *Client) homeSilent(e HomeTimedOut) []ClientEffect {
	if c.stage != stageAsking || e.Ask != c.ask {
		return nil
	}
	return c.send()
}

func (c *Client) answered(r AcquireReply) []ClientEffect {
	if c.stage != stageAsking || r.Ask != c.ask || r.Request != c.settings.Request {
		return nil
	}
	if r.Grant != nil {
		return c.granted(*r.Grant)
	}
	if r.Reason == NotHome && r.Home != "" && r.Home != c.home {
		c.home = r.Home
		c.sealed = nil
		return c.send()
	}
	return c.conclude(r)
}

func (c *Client) granted(g Grant) []ClientEffect {
	if g.Claim != c.settings.Claim || g.Content != c.settings.Content {
		return c.end(Result{Outcome: btrequest.Unknown, Reason: KeyReused})
	}
	if c.attempts >= c.settings.MaxAttempts {
		return c.end(Result{Outcome: btrequest.Unknown, Reason: c.refusal, RetryAfter: c.retryAfter})
	}
	c.attempts++
	c.grant = g
	c.stage = stageServing
	return []ClientEffect{SendRequest{Grant: g}}
}

// conclude tells the home's refusal on. Its not_run is good for the time of its
// hold, counted from before the ask.
func (c *Client) conclude(r AcquireReply) []ClientEffect {
	e := Result{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: max(r.RetryAfter, c.retryAfter)}
	if e.Reason == NoExecutor && c.refusal != "" {
		e.Reason = c.refusal
	}
	if e.Outcome == btrequest.NotRun && c.clock.span(c.sentAt) >= usable(r.Hold) {
		e.Outcome = btrequest.Unknown
		e.Reason = EvidenceStale
	}
	return c.end(e)
}

func (c *Client) serving(attempt uint32, e Result) []ClientEffect {
	if c.stage != stageServing || attempt != c.grant.Attempt {
		return nil
	}
	if e.Outcome != btrequest.Done {
		e.RetryAfter = time.Second
	}
	return c.end(e)
}

// refused goes on to another executor if the refusal is proved.
func (c *Client) refused(r Refused) []ClientEffect {
	if c.stage != stageServing || r.Claim != c.settings.Claim || r.Attempt != c.grant.Attempt {
		return nil
	}
	c.refusal = r.Reason
	c.retryAfter = r.RetryAfter
	if r.Sealed == nil || !r.Sealed.matches(c.grant) {
		return c.end(Result{Outcome: btrequest.Unknown, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	c.sealed = r.Sealed
	if r.Sealed.By == c.grant.Executor {
		c.exclude = append(c.exclude, c.grant.Executor.Target)
	}
	if c.attempts < c.settings.MaxAttempts {
		return c.choose()
	}
	c.executor = btid.Executor{}
	return c.send()
}
