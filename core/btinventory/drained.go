package btinventory

import (
	"errors"
	"fmt"
	"slices"

	"bilberrytide/core/btid"
)

// DrainedDataCentres is the set of data centres whose targets must not be sent requests,
// ordered by name. The operator drains a data centre before it is taken away. A set is
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
