package btprocess

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btpeer"
)

// EntryIdentity returns the identity in the certificate of an entry.
func EntryIdentity(name btid.Entry) btpeer.Identity {
	return btpeer.Identity{Role: btpeer.Entry, Name: string(name)}
}

// AgentIdentity returns the identity in the certificate of a target's agent.
func AgentIdentity(name btid.Target) btpeer.Identity {
	return btpeer.Identity{Role: btpeer.Agent, Name: string(name)}
}

// EntryEndpoint returns the endpoint of an entry, and false if the bundle doesn't list
// it.
func EntryEndpoint(x *btbundle.Index, name btid.Entry) (btpeer.Endpoint, bool) {
	e, found := x.Entry(name)
	if !found {
		return btpeer.Endpoint{}, false
	}
	return btpeer.Endpoint{Identity: EntryIdentity(name), Address: e.Address}, true
}

// AgentEndpoint returns the endpoint of a target's agent, and false if the bundle
// doesn't list the target.
func AgentEndpoint(x *btbundle.Index, name btid.Target) (btpeer.Endpoint, bool) {
	t, found := x.Target(name)
	if !found {
		return btpeer.Endpoint{}, false
	}
	return btpeer.Endpoint{Identity: AgentIdentity(name), Address: t.Address}, true
}

// EndpointOf returns the endpoint of a peer, and false if the identity is malformed or
// the bundle doesn't list it.
func EndpointOf(x *btbundle.Index, peer btbundle.Peer) (btpeer.Endpoint, bool) {
	identity, err := btkeys.ParseIdentity(string(peer))
	if err != nil {
		return btpeer.Endpoint{}, false
	}
	if identity.Role == btkeys.Entry {
		return EntryEndpoint(x, btid.Entry(identity.Name))
	}
	return AgentEndpoint(x, btid.Target(identity.Name))
}
