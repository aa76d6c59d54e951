package btdirect

import "bilberrytide/io/btfront"

// reservedDescriptors are those that the platform counts for files.
const reservedDescriptors = 200

// newFront returns the front for callers.
func newFront(o Options) *btfront.Front {
	descriptors := 0
	if o.Settings.Descriptors > 0 {
		descriptors = max(o.Settings.Descriptors-reservedDescriptors, 1)
	}
	f := btfront.CallerOptions(o.Settings.Memory, descriptors)
	// Requests have an account of their own.
	f.Bytes = 0
	f.Clock, f.Meter, f.Log = o.Clock, o.Meter, o.Log
	return btfront.New(f)
}
