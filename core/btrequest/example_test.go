package btrequest_test

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btrequest"
)

// A refusal is an error that holds all that the caller is answered with.
func ExampleRefuse() {
	var err error = btrequest.Refuse("queue_full", 2*time.Second, "%d requests wait", 40)
	fmt.Println(err)
	var refusal *btrequest.Refusal
	if errors.As(err, &refusal) {
		fmt.Println(refusal.Outcome, refusal.RetryAfter)
	}
	// Output:
	// queue_full (not_run): 40 requests wait
	// not_run 2s
}

// Only a key that is a UUID of version 7 contains its creation time.
func ExampleKey_Time() {
	made, known := btrequest.Key("0190163d-8694-739b-aea5-966c26f8ad91").Time()
	fmt.Println(made.UTC().Format(time.RFC3339Nano), known)
	_, known = btrequest.Key("receipt-7").Time()
	fmt.Println(known)
	// Output:
	// 2024-06-14T10:14:09.3Z true
	// false
}
