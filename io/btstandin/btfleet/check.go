package btfleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btstandin"
)

// Check returns an error for every guarantee that was violated so far: an invariant
// violated in any process, an answer that belongs to another request, a request
// answered not_run that a target executed, a key that was executed twice, requests at a
// target that had asked for rest or announced that it is leaving. All
// processes must be unfrozen and their queues empty.
func (f *Fleet) Check(answers []Answer) error {
	errs := []error{f.checkInvariants(), f.checkLogs()}
	ran, err := f.Executions()
	if err != nil {
		return errors.Join(append(errs, err)...)
	}
	for _, v := range ran.Violations {
		errs = append(errs, errors.New(v))
	}
	for i := range answers {
		errs = append(errs, answers[i].CheckEcho(), checkOutcome(&answers[i], ran))
	}
	errs = append(errs, checkKeys(answers, ran)...)
	return errors.Join(errs...)
}

// checkInvariants sums the counters of violated invariants over all running
// processes.
func (f *Fleet) checkInvariants() error {
	var sum int64
	for _, name := range f.ProductProcesses() {
		if !f.Process(name).Running() {
			continue
		}
		count, err := f.Counter(name, btmetric.MetricViolations)
		if err != nil {
			return fmt.Errorf("violations of %s: %w", name, err)
		}
		sum += count
	}
	if sum != 0 {
		return fmt.Errorf("%d invariants violated", sum)
	}
	return nil
}

// logFailures must not occur in the log of any process, including ended ones.
var logFailures = [][]byte{[]byte("invariant violated"), []byte("panic: "), []byte("fatal error: ")}

func (f *Fleet) checkLogs() error {
	var errs []error
	for _, name := range f.ProductProcesses() {
		data, err := os.ReadFile(f.path(name + ".log"))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for line := range bytes.Lines(data) {
			for _, fault := range logFailures {
				if bytes.Contains(line, fault) {
					errs = append(errs, fmt.Errorf("%s: %s", name, bytes.TrimSpace(line)))
				}
			}
		}
	}
	return errors.Join(errs...)
}

// checkOutcome compares the outcome of one call with the executions counted for its
// request id.
func checkOutcome(a *Answer, ran btstandin.Executions) error {
	count := ran.Requests[a.Request]
	switch {
	case a.Err != nil:
		return nil
	case a.Request == "" || !a.Outcome.Valid():
		return fmt.Errorf("answer without request id or valid outcome: %s", a)
	case a.Outcome == btrequest.NotRun && count > 0:
		return fmt.Errorf("answered not_run, but executed %d times: %s", count, a)
	case a.Outcome == btrequest.Done && !a.Replayed && count == 0:
		return fmt.Errorf("answered done, but never executed: %s", a)
	case a.Call.Key != "" && count > 1:
		return fmt.Errorf("executed %d times in spite of its key: %s", count, a)
	}
	return nil
}

// checkKeys compares the outcomes of all calls of each key with its executions.
func checkKeys(answers []Answer, ran btstandin.Executions) []error {
	outcomesByKey := map[btrequest.Key]map[btrequest.Outcome]int{}
	for i := range answers {
		a := &answers[i]
		if a.Call.Key == "" {
			continue
		}
		if outcomesByKey[a.Call.Key] == nil {
			outcomesByKey[a.Call.Key] = map[btrequest.Outcome]int{}
		}
		outcome := a.Outcome
		if a.Err != nil {
			outcome = btrequest.Unknown
		}
		outcomesByKey[a.Call.Key][outcome]++
	}
	var errs []error
	for key, outcomes := range outcomesByKey {
		count := ran.Keys[string(key)]
		switch {
		case count > 1:
			errs = append(errs, fmt.Errorf("key %s was executed %d times: %v", key, count, outcomes))
		case outcomes[btrequest.Done] > 0 && count != 1:
			errs = append(errs, fmt.Errorf("key %s was answered done, but executed %d times: %v", key, count, outcomes))
		case count > 0 && outcomes[btrequest.Done]+outcomes[btrequest.Unknown] == 0:
			errs = append(errs, fmt.Errorf("key %s was executed, but every call was answered not_run", key))
		}
	}
	return errs
}

// CountOutcomes counts answers by outcome; a broken connection counts as unknown.
func CountOutcomes(answers []Answer) map[btrequest.Outcome]int {
	counts := map[btrequest.Outcome]int{}
	for i := range answers {
		outcome := answers[i].Outcome
		if answers[i].Err != nil {
			outcome = btrequest.Unknown
		}
		counts[outcome]++
	}
	return counts
}

// CountReasons counts answers by outcome and reason, such as "unknown agent_lost".
func CountReasons(answers []Answer) map[string]int {
	counts := map[string]int{}
	for i := range answers {
		a := &answers[i]
		name := string(a.Outcome) + " " + string(a.Reason)
		if a.Err != nil {
			name = "no answer"
		}
		counts[strings.TrimSpace(name)]++
	}
	return counts
}
