package btrank

// CarryOut brings an engine into the state that a command asks for.
var CarryOut = carryOut

// Observed returns an engine whose refusals are observed.
func Observed(o Options, e Engine) Engine {
	return observedEngine{Engine: e, observer: newObserver(o)}
}
