package btdirect

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
)

// ErrHistoryGone means that a source no longer has the changes after a
// revision, so that everything must be read again.
var ErrHistoryGone = errors.New("history is gone")

// Source publishes the configuration and the list of targets.
type Source interface {
	// Snapshot returns everything.
	Snapshot(ctx context.Context) (Update, error)
	// Changes returns what changed after the position, as soon as there is
	// anything, and else an empty update once the wait is over.
	Changes(ctx context.Context, position btinventory.Position, wait time.Duration) (Update, error)
}

// Update is what was read at once.
type Update struct {
	// Position orders updates of one source.
	Position btinventory.Position
	// Full tells that targets which are not listed are gone.
	Full bool
	// Catalog is nil where it didn't change; CatalogBytes is how it was
	// published, for entries that can't read it themselves.
	Catalog      *btcatalog.Catalog
	CatalogBytes []byte
	Changes      []TargetChange
	// Malformed lists what could not be decoded.
	Malformed []MalformedRecord
}

// MalformedRecord is a record that can't be decoded.
type MalformedRecord struct {
	Key string
	Err error
	// Outcome says what holds in its place.
	Outcome string
}

// TargetChange is a target's new record, its removal, or that what stands there
// names no target.
type TargetChange struct {
	ID      btinventory.ID
	Removed bool
	// Refused tells that the record can't be used.
	Refused bool
	Target  btinventory.Target
}

// Headers reads and writes the header fields that the platform defines.
type Headers interface {
	// ParseRequest reads a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// SetForward sets the fields of a request to a target and removes the
	// caller's credentials.
	SetForward(h http.Header, f ForwardInfo)
	// ParseAnswer reads a target's answer.
	ParseAnswer(status int, h http.Header) AnswerInfo
	// SetRefusal sets the fields of an answer of the entry's own.
	SetRefusal(h http.Header, id string, retryAfter time.Duration)
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID is the caller's identifier of this attempt.
	ID  string
	Key string
	// Deadline is how long the caller waits, if HasDeadline.
	Deadline    time.Duration
	HasDeadline bool
	// LastEvent is the last event that the caller has of a broken stream.
	LastEvent string
	// PromptTokens and OutputTokens are the caller's estimates; zero if absent.
	PromptTokens, OutputTokens int
}

// ForwardInfo is what the entry says in a request to a target.
type ForwardInfo struct {
	Account btid.Account
	// Target is the target that is meant.
	Target    btinventory.ID
	Remaining time.Duration
	Priority  int
	// LastEvent goes before the caller's own where it is set.
	LastEvent string
}

// AnswerInfo is what a target's answer says of itself.
type AnswerInfo struct {
	// ID is the request that the answer belongs to.
	ID string
	// NotRun is the target's word that it did not run the request.
	NotRun bool
	// Misdirected tells that another target has the address.
	Misdirected bool
	// FromTarget tells that the answer is the target's own.
	FromTarget bool
	// Encoded tells that the body isn't the target's.
	Encoded bool
	// AtFault is the group member that the answer blames, if any.
	AtFault btinventory.ID
	// Rate is what the answer says of how many requests the target takes.
	Rate btrate.Advertisement
}
