package btswitch

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// ErrVersion is wrapped by the error of every malformed version.
var ErrVersion = errors.New("malformed map version")

// Ballot identifies a round and orders it among the others. Ballots are unique, as
// no incarnation of a lead uses a number twice. The zero Ballot is below all others.
type Ballot struct {
	Number uint64        `cbor:"number" json:"number"`
	Lead   btid.Executor `cbor:"lead" json:"lead"`
}

// Compare orders ballots by number, then by lead.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Number, o.Number),
		cmp.Compare(b.Lead.Target, o.Lead.Target),
		cmp.Compare(b.Lead.Incarnation, o.Lead.Incarnation),
	)
}

// IsZero reports whether the ballot belongs to no round.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// String formats the ballot for logs, as "number/lead".
func (b Ballot) String() string { return strconv.FormatUint(b.Number, 10) + "/" + b.Lead.String() }

// Validate returns an error for a ballot that no lead can issue.
func (b Ballot) Validate() error {
	if b.Number == 0 {
		return errors.New("ballot: number must not be zero")
	}
	if err := b.Lead.Validate(); err != nil {
		return fmt.Errorf("ballot lead: %w", err)
	}
	return nil
}

// Version identifies one staging of a map: the map, the members that it is for and
// the ballot of the round that staged it. No two rounds share a version, so an
// order that names one can't be taken for an order of another round.
//
// The version of an engine's initial map has no ballot.
type Version struct {
	Map     btbundle.Digest `cbor:"map"`
	Members btbundle.Digest `cbor:"members"`
	Ballot  Ballot          `cbor:"ballot"`
}

// IsZero reports whether the version names no map.
func (v Version) IsZero() bool { return v == Version{} }

// Agreed reports whether a round staged the version; an engine's initial map has
// no round.
func (v Version) Agreed() bool { return !v.Ballot.IsZero() }

// SameMap reports whether both versions have the same map for the same members.
func (v Version) SameMap(o Version) bool { return v.Map == o.Map && v.Members == o.Members }

const versionSeparator = "/"

// String formats the version as engines see it: empty for the zero version, the
// map's digest for an initial map, else "map/members/number/target/incarnation".
func (v Version) String() string {
	switch {
	case v.IsZero():
		return ""
	case !v.Agreed():
		return v.Map.String()
	}
	return strings.Join([]string{
		v.Map.String(),
		v.Members.String(),
		strconv.FormatUint(v.Ballot.Number, 10),
		string(v.Ballot.Lead.Target),
		v.Ballot.Lead.Incarnation.String(),
	}, versionSeparator)
}

// MarshalText encodes the version in the format of String.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the format of String. Its errors wrap ErrVersion.
func (v *Version) UnmarshalText(text []byte) error {
	*v = Version{}
	if len(text) == 0 {
		return nil
	}
	var read Version
	parts := strings.Split(string(text), versionSeparator)
	if err := read.Map.UnmarshalText([]byte(parts[0])); err != nil {
		return fmt.Errorf("%w: map: %w", ErrVersion, err)
	}
	if len(parts) > 1 {
		if err := read.parseRound(parts[1:]); err != nil {
			return err
		}
	}
	*v = read
	return nil
}

func (v *Version) parseRound(parts []string) error {
	if len(parts) != 4 {
		return fmt.Errorf("%w: %d parts after the map, not 4", ErrVersion, len(parts))
	}
	if err := v.Members.UnmarshalText([]byte(parts[0])); err != nil {
		return fmt.Errorf("%w: members: %w", ErrVersion, err)
	}
	number, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: ballot number: %w", ErrVersion, err)
	}
	incarnation, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return fmt.Errorf("%w: incarnation: %w", ErrVersion, err)
	}
	v.Ballot.Number = number
	v.Ballot.Lead.Target = btid.Target(parts[2])
	v.Ballot.Lead.Incarnation = btid.Incarnation(incarnation)
	return v.Validate()
}

// Validate returns an error for a version that no round can stage. The zero
// version and that of an initial map are valid. Its errors wrap ErrVersion.
func (v Version) Validate() error {
	if !v.Agreed() {
		if !v.Members.IsZero() {
			return fmt.Errorf("%w: members without a ballot", ErrVersion)
		}
		return nil
	}
	if v.Map.IsZero() || v.Members.IsZero() {
		return fmt.Errorf("%w: ballot without map or members", ErrVersion)
	}
	if err := v.Ballot.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrVersion, err)
	}
	return nil
}
