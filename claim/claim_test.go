// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package claim

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/standin"
)

func claimOf(key, request string) Claim {
	return Claim{
		Key:        KeyOf("club", key),
		Request:    request,
		Instance:   "n1",
		ValidUntil: time.Now().Add(time.Hour),
	}
}

// TestOneWinner guards against different results of claims on one key through several writers, also
// if answers of the log are lost.
func TestOneWinner(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"nothing", standin.Faults{}},
		{"one answer lost", standin.Faults{LoseAnswer: 1}},
		{"every answer lost", standin.Faults{LoseAnswer: -1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := standin.NewLog(standin.LogSettings{})
				log.SetFaults(c.faults)
				winners := make([]Claim, 9)
				var all sync.WaitGroup
				for w := range 3 {
					writer := NewWriter(Settings{}, log)
					defer writer.Close()
					for k := range 3 {
						all.Go(func() {
							var err error
							winners[3*w+k], err = writer.Claim(t.Context(), claimOf("k", fmt.Sprintf("r%d", 3*w+k)))
							if err != nil {
								t.Error(err)
							}
						})
					}
				}
				all.Wait()
				for _, w := range winners {
					is.Equal(w.Request, winners[0].Request)
				}
			})
		})
	}
}

// TestLogOutage guards against claims that hang while the log is down, and against a claim that was
// abandoned during the outage but holds its key afterwards because its append took effect late.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog(standin.LogSettings{})
		writer := NewWriter(Settings{}, log)
		defer writer.Close()
		claimer := NewClaimer(func(int) []Service { return []Service{writer} })
		defer claimer.Close()
		log.SetFaults(standin.Faults{Outage: true})
		start := time.Now()
		first := claimOf("k", "r1")
		_, err := claimer.Claim(t.Context(), first)
		is.True(err != nil)
		is.True(time.Since(start) < 3*time.Second)
		log.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		is.Equal(claimer.Pending(), 0)
		// Writes the first claim again, as an append that takes effect late would.
		late, err := writer.Claim(t.Context(), first)
		is.True(err != nil || late.Request != "r1") // a freed claim holds no key
		won, err := claimer.Claim(t.Context(), claimOf("k", "r2"))
		is.NoErr(err)
		is.Equal(won.Request, "r2")
	})
}

// TestClaimsAreBatched guards against an append for each of many concurrent claims.
func TestClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog(standin.LogSettings{})
		writer := NewWriter(Settings{}, log)
		defer writer.Close()
		var all sync.WaitGroup
		const n = 2000
		start := time.Now()
		for i := range n {
			all.Go(func() {
				if _, err := writer.Claim(t.Context(), claimOf(fmt.Sprint(i), fmt.Sprint(i))); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		is.True(time.Since(start) < 2*time.Second)
		is.True(log.Appends() <= 5*Partitions)
	})
}

// historyEntry is one entry of a stream.
type historyEntry struct {
	claim Claim
	freed bool
}

// replayWinner returns the request whose claim holds a key, found by replaying the whole history. A
// claim has no effect if the key was held or the claim had been freed before.
func replayWinner(history []historyEntry, k Key) string {
	winner := ""
	for i, e := range history {
		request := e.claim.Request
		switch {
		case e.freed && winner == request:
			winner = ""
		case e.freed || e.claim.Key != k || winner != "" || wasFreed(history[:i], request):
		default:
			winner = request
		}
	}
	return winner
}

func wasFreed(history []historyEntry, request string) bool {
	for _, e := range history {
		if e.freed && e.claim.Request == request {
			return true
		}
	}
	return false
}

// TestRegistryMatchesReplay guards against a Registry that differs from a replay of the history
// when requests claim a key several times, and are freed before or after that.
func TestRegistryMatchesReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := NewRegistry()
		var history []historyEntry
		for range rapid.IntRange(1, 14).Draw(t, "entries") {
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			e := historyEntry{
				claim: claimOf(key, key+fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "request"))),
				freed: rapid.Bool().Draw(t, "freed"),
			}
			history = append(history, e)
			registry.applyEntry(encode(e.claim, e.freed))
			got, _ := registry.Winner(e.claim.Key)
			if want := replayWinner(history, e.claim.Key); got.Request != want {
				t.Fatalf("registry: %q holds the key, replay: %q", got.Request, want)
			}
		}
	})
}

// TestReadAfterTrim guards against a registry that waits for records that were trimmed from the log.
func TestReadAfterTrim(t *testing.T) {
	is := is.New(t)
	b := NewRegistry()
	b.Apply(logsvc.Batch{
		Earliest: 50,
		Next:     50,
	})
	is.Equal(b.Next(), int64(50))
}

// TestClaimAfterClose guards against a claim that blocks on a closed writer.
func TestClaimAfterClose(t *testing.T) {
	is := is.New(t)
	w := NewWriter(Settings{}, standin.NewLog(standin.LogSettings{}))
	w.Close()
	_, err := w.Claim(context.Background(), claimOf("k", "r"))
	is.True(err != nil)
}

// The seed is fixed, so that every run tests the same cases; -rapid.seed=0 draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
