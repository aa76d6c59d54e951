package btqueue

import (
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// refusalHistorySize bounds the number of remembered refusals. A repeated message that
// is older than that many refusals is left to the agent's duplicate check.
const refusalHistorySize = 1024

// refusalHistory remembers the last refusals, so that a refusal is final.
type refusalHistory struct {
	ring    []btid.Request
	next    int
	reasons map[btid.Request]btrequest.Reason
}

func newRefusalHistory() refusalHistory {
	return refusalHistory{reasons: map[btid.Request]btrequest.Reason{}}
}

func (r *refusalHistory) reason(id btid.Request) (btrequest.Reason, bool) {
	reason, ok := r.reasons[id]
	return reason, ok
}

// add records the first reason for a request.
func (r *refusalHistory) add(id btid.Request, reason btrequest.Reason) {
	if _, known := r.reasons[id]; known {
		return
	}
	r.reasons[id] = reason
	if len(r.ring) < refusalHistorySize {
		r.ring = append(r.ring, id)
		return
	}
	delete(r.reasons, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % refusalHistorySize
}
