package btclaim

import (
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"bilberrytide/core/btrequest"
)

// NewKey returns an idempotency key, a UUID of version 7 with the time now, for
// callers whose clocks can't be trusted. The other bits are read from random; an
// error of random is returned.
func NewKey(now time.Time, random io.Reader) (btrequest.Key, error) {
	var id uuid.UUID
	if _, err := io.ReadFull(random, id[6:]); err != nil {
		return "", fmt.Errorf("new idempotency key: %w", err)
	}
	millis := uint64(now.UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return btrequest.Key(id.String()), nil
}
