package btinventory

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// DrainedDataCentres is the set of data centres whose targets must not be sent requests,
// ordered by name. The operator drains a data centre before it is shut down. A set is
// never changed in place.
type DrainedDataCentres []btid.DataCentre

// maxDrained bounds the drained data centres of a message.
const maxDrained = 1024

// errDrained means that a set of drained data centres is malformed.
var errDrained = errors.New("malformed set of drained data centres")

// NewDrainedDataCentres returns the set of the given data centres.
func NewDrainedDataCentres(list ...btid.DataCentre) DrainedDataCentres {
	set := slices.Clone(list)
	slices.Sort(set)
	return slices.Compact(set)
}

// Contains reports whether the data centre is drained.
func (d DrainedDataCentres) Contains(c btid.DataCentre) bool {
	_, found := slices.BinarySearch(d, c)
	return found
}

// With returns the set with the data centre added.
func (d DrainedDataCentres) With(c btid.DataCentre) DrainedDataCentres {
	return NewDrainedDataCentres(append(slices.Clone(d), c)...)
}

// Without returns the set with the data centre removed.
func (d DrainedDataCentres) Without(c btid.DataCentre) DrainedDataCentres {
	return slices.DeleteFunc(slices.Clone(d), func(o btid.DataCentre) bool { return o == c })
}

// Validate returns an error if a name is missing, or if the names are too many or not in
// order.
func (d DrainedDataCentres) Validate() error {
	if len(d) > maxDrained {
		return fmt.Errorf("%w: %d of them, at most %d", errDrained, len(d), maxDrained)
	}
	for i, c := range d {
		if c == "" || i > 0 && c <= d[i-1] {
			return fmt.Errorf("%w: %q is unnamed or out of order", errDrained, c)
		}
	}
	return nil
}

// Drains tracks the drained data centres across whole lists and changes. After the list was
// restored from a snapshot, known drains that it lacks stay for staleWindow, in which the
// operator writes them again. It is not safe for concurrent use.
type Drains struct {
	set DrainedDataCentres
	// keptUntil holds the deadlines of drains that a restored list lacks.
	keptUntil map[btid.DataCentre]time.Time
}

// NewDrains returns Drains without a drained data centre.
func NewDrains() *Drains { return &Drains{keptUntil: make(map[btid.DataCentre]time.Time)} }

// Set returns the drained data centres.
func (d *Drains) Set() DrainedDataCentres { return d.set }

// Change applies a write or removal by the operator.
func (d *Drains) Change(c btid.DataCentre, drained bool) {
	delete(d.keptUntil, c)
	if drained {
		d.set = d.set.With(c)
	} else {
		d.set = d.set.Without(c)
	}
}

// Replace applies a whole list. Restored reports that it may lack recent drains, because the
// list was restored from a snapshot at most staleWindow ago.
func (d *Drains) Replace(now time.Time, list DrainedDataCentres, restored bool) {
	for _, c := range d.set {
		if _, kept := d.keptUntil[c]; restored && !kept && !list.Contains(c) {
			d.keptUntil[c] = now.Add(staleWindow)
		}
	}
	for c := range d.keptUntil {
		if list.Contains(c) {
			delete(d.keptUntil, c)
		} else {
			list = list.With(c)
		}
	}
	d.set = list
	d.Expire(now)
}

// Expire ends the drains that a restored list lacks and that were not written again.
func (d *Drains) Expire(now time.Time) {
	for c, until := range d.keptUntil {
		if !now.Before(until) {
			delete(d.keptUntil, c)
			d.set = d.set.Without(c)
		}
	}
}
