package btserve_test

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btserve"
)

// A refusal must carry the request's outcome and a reason.
func ExampleHead_Validate() {
	head := btserve.Head{
		ID:         btid.Request{Entry: "entry-1", Incarnation: 1, Number: 2},
		Executor:   btid.Executor{Target: "pages-1", Incarnation: 1},
		Verdict:    btserve.Refused,
		Outcome:    "not_run",
		RetryAfter: time.Second,
	}
	err := head.Validate()
	fmt.Println(err, errors.Is(err, btserve.ErrMessage))
	head.Reason = "draining"
	fmt.Println(head.Validate())
	// Output:
	// malformed serve message: refusal without a reason true
	// <nil>
}

// Header values are encoded as bytes and decoded unchanged.
func ExampleHeaderFromHTTP() {
	header := btserve.HeaderFromHTTP(http.Header{"Accept": {"text/event-stream"}})
	fmt.Println(header.HTTP().Get("Accept"))
	// Output: text/event-stream
}
