package btrank

// CarryOut brings an engine into the state that a command asks for.
var CarryOut = carryOut
