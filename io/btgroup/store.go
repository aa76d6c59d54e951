package btgroup

import (
	"context"
	"errors"
	"fmt"

	"bilberrytide/core/btid"
	"bilberrytide/io/btplatform"
)

// ErrStoreDown is wrapped by the error of a weight store that doesn't answer.
var ErrStoreDown = errors.New("weight store down")

// Store checks whether the weight store answers.
type Store interface {
	// Probe requests a model's weights without reading them. The error wraps
	// ErrStoreDown.
	Probe(ctx context.Context, model btid.Service) error
}

// PlatformStore probes the platform's weight store.
type PlatformStore struct {
	client *btplatform.Client
}

var _ Store = (*PlatformStore)(nil)

// NewPlatformStore returns a store that uses the client.
func NewPlatformStore(client *btplatform.Client) *PlatformStore {
	return &PlatformStore{client: client}
}

// Probe opens one expert's weights and closes them without reading. A store that limits
// calls, or that doesn't have these weights, is not down.
func (s *PlatformStore) Probe(ctx context.Context, model btid.Service) error {
	weights, err := s.client.Weights(ctx, btplatform.Expert{Model: model})
	if errors.Is(err, btplatform.ErrUnavailable) {
		return fmt.Errorf("%w: %w", ErrStoreDown, err)
	}
	if err == nil {
		_ = weights.Close()
	}
	return nil
}
