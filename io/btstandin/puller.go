package btstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// pullRetry is the delay before a retry if the failed pull had no Retry-After.
const pullRetry = time.Second

// WeightSource supplies a group's engines with expert weights.
type WeightSource interface {
	// Pull returns once the expert's weights of the layer have been fetched, or
	// with the context's error.
	Pull(ctx context.Context, layer, expert int) error
}

// WeightPullerOptions configures a WeightPuller.
type WeightPullerOptions struct {
	Clock  Clock
	Client *http.Client
	// Platform is the address of the weight store.
	Platform netip.AddrPort
	Model    string
	// ExpertBytes is the size to request for one expert's weights; zero uses the
	// store's default.
	ExpertBytes int64
}

// WeightPuller pulls weights from the platform's weight store. It retries failed
// pulls without limit, after the delay that the store states.
type WeightPuller struct {
	options WeightPullerOptions
}

var _ WeightSource = (*WeightPuller)(nil)

// NewWeightPuller returns a puller. The error wraps ErrOptions.
func NewWeightPuller(o WeightPullerOptions) (*WeightPuller, error) {
	if o.Clock == nil || o.Client == nil || !o.Platform.IsValid() || o.Model == "" || o.ExpertBytes < 0 {
		return nil, fmt.Errorf("%w: weight puller needs a clock, a client, an address and a model", ErrOptions)
	}
	return &WeightPuller{options: o}, nil
}

// Pull fetches the weights and discards them.
func (p *WeightPuller) Pull(ctx context.Context, layer, expert int) error {
	for {
		wait, err := p.try(ctx, layer, expert)
		if err == nil {
			return nil
		}
		if err := sleep(ctx, p.options.Clock, wait); err != nil {
			return err
		}
	}
}

// try makes one attempt. On failure it returns the error and the delay before the
// next.
func (p *WeightPuller) try(ctx context.Context, layer, expert int) (time.Duration, error) {
	o := p.options
	address := fmt.Sprintf("http://%s/v1/weights/%s/%d/%d", o.Platform, url.PathEscape(o.Model), layer, expert)
	if o.ExpertBytes > 0 {
		address += fmt.Sprintf("?bytes=%d", o.ExpertBytes)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return pullRetry, err
	}
	response, err := o.Client.Do(request)
	if err != nil {
		return pullRetry, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("weight store answered %s", response.Status)
	}
	return retryAfter(response.Header), err
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 1 {
		return pullRetry
	}
	return time.Duration(seconds) * time.Second
}
