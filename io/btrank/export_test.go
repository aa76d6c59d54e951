package btrank

// CarryOut brings an engine into the state that a command asks for.
var CarryOut = carryOut

// LogRefusals returns an engine whose refusals are counted and logged.
func LogRefusals(o Options, e Engine) Engine {
	return loggedEngine{Engine: e, refusals: newRefusalLogger(o)}
}

// NewNoticedEngine wraps an engine as New does.
var NewNoticedEngine = newNoticedEngine
