package btdirect

import "bilberrytide/io/btfront"

// reservedDescriptors are those that the platform counts for files.
const reservedDescriptors = 200

// newFront returns the front for callers.
func newFront(o Options, limits func() btfront.Limits) *btfront.Front {
	descriptors := 0
	if o.Settings.Descriptors > 0 {
		descriptors = max(o.Settings.Descriptors-reservedDescriptors, 1)
	}
	f := btfront.CallerOptions(o.Settings.Memory, descriptors)
	f.Limits, f.Clock, f.Meter, f.Log = limits, o.Clock, o.Meter, o.Log
	return btfront.New(f)
}

// callerLimits returns the limits of headers and idle connections that the catalog in force
// sets.
func (e *Entry) callerLimits() btfront.Limits {
	index := e.cache.index.Load()
	if index == nil {
		return btfront.Limits{}
	}
	l := index.Limits()
	return btfront.Limits{HeaderBytes: l.HeaderBytes, HeaderTime: l.HeaderTime, IdleTime: l.IdleTime}
}
