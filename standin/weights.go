// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/weights"
)

// WeightSettings configures a Weights. Zero values select the defaults.
type WeightSettings struct {
	// FetchesPerMinute bounds the rate of permits; the default is 60.
	FetchesPerMinute float64
	// Bytes is the size of every model; the default is 1 GiB.
	Bytes int64
}

const (
	defaultFetches = 60
	defaultWeights = 1 << 30
)

// Weights is a weight store that issues permits and has no weights. It implements
// weights.Store.
type Weights struct {
	bytes int64
	limit *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	permits int
}

// NewWeights returns a weight store.
func NewWeights(s WeightSettings) *Weights {
	if s.FetchesPerMinute == 0 {
		s.FetchesPerMinute = defaultFetches
	}
	if s.Bytes == 0 {
		s.Bytes = defaultWeights
	}
	return &Weights{
		bytes: s.Bytes,
		limit: rate.NewLimiter(rate.Limit(s.FetchesPerMinute/time.Minute.Seconds()), 1),
	}
}

// SetFaults replaces the faults.
func (s *Weights) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Permit implements weights.Store. It returns a weights.LimitedError if the rate limit is
// exceeded.
func (s *Weights) Permit(_ context.Context, model, version string) (weights.Permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return weights.Permit{}, errors.New("outage")
	}
	r := s.limit.Reserve()
	if d := r.Delay(); d > 0 {
		r.Cancel()
		return weights.Permit{}, &weights.LimitedError{
			After: d,
		}
	}
	s.permits++
	return weights.Permit{
		ID:    model + "@" + version + "#" + strconv.Itoa(s.permits),
		Bytes: s.bytes,
	}, nil
}

// serve registers the handler for permits.
func (s *Weights) serve(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/weights/{model}/{version}/permits", func(w http.ResponseWriter, r *http.Request) {
		p, err := s.Permit(r.Context(), r.PathValue("model"), r.PathValue("version"))
		var limited *weights.LimitedError
		switch {
		case errors.As(err, &limited):
			seconds := int(math.Ceil(limited.After.Seconds()))
			w.Header().Set("Retry-After", strconv.Itoa(seconds))
			http.Error(w, err.Error(), http.StatusTooManyRequests)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			wirehttp.JSON(w, http.StatusOK, p)
		}
	})
}
