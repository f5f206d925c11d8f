// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestAdmit guards against a request that is admitted during its ban, and against more than one
// that is admitted at a time after the ban.
func TestAdmit(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestRegistry()
		p, ban := b.Admit(request(1))
		is.True(ban == nil && !p.SingleEndpoint)
		p.Release()
		crashThrice(b)
		_, ban = b.Admit(request(1))
		is.True(ban != nil)
		is.True(ban.Remaining <= firstBanDuration && ban.Remaining > firstBanDuration-time.Second)
		_, ban = b.Admit(request(2))
		is.True(ban == nil)
		time.Sleep(firstBanDuration)
		p, ban = b.Admit(request(1))
		is.True(ban == nil && p.SingleEndpoint)
		_, ban = b.Admit(request(1))
		is.True(ban != nil)
		is.Equal(ban.Remaining, retestDelay)
		p.Release()
		_, ban = b.Admit(request(1))
		is.True(ban != nil) // the result of the last one may not be known yet
		time.Sleep(retestDelay)
		_, ban = b.Admit(request(1))
		is.True(ban == nil)
	})
}

// bannedRegistries returns the registries of n instances, with retest turns, in which request 1 has
// just been banned.
func bannedRegistries(n int) []*Registry {
	var all []*Registry
	for i := range n {
		all = append(all, New(time.Now, Dependencies{
			Turn: func(Identity) RetestTurn {
				return RetestTurn{
					Position:  i,
					Instances: n,
				}
			},
		}, logr.Discard()))
	}
	crashThrice(all[0])
	for _, b := range all[1:] {
		for _, v := range all[0].Verdicts() {
			b.ApplyVerdict(v)
		}
	}
	return all
}

// TestRetestTurns guards against a request that crashes more than one endpoint after its ban
// because all instances admit it at once, and against a harmless one that isn't admitted again.
func TestRetestTurns(t *testing.T) {
	const (
		instances = 6
		every     = 200 * time.Millisecond
		duration  = 100 * time.Millisecond
	)
	for _, row := range []struct {
		name string
		// crashes reports whether the request still crashes endpoints.
		crashes bool
		// least and most bound the requests that are admitted within a minute after the ban.
		least, most int
	}{
		{"still crashes", true, 1, 1},
		{"harmless", false, instances * int(time.Minute/every) * 9 / 10, instances * int(time.Minute/every)},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				is := is.New(t)
				all := bannedRegistries(instances)
				time.Sleep(firstBanDuration)
				ran := 0
				for range int(time.Minute / every) {
					for i, b := range all {
						p, ban := b.Admit(request(1))
						if ban != nil {
							continue
						}
						ran++
						began := time.Now()
						attempt := strconv.Itoa(ran)
						time.AfterFunc(duration, func() {
							p.Release()
							for _, other := range all {
								if !row.crashes {
									other.ReportAnswered(request(1), time.Now())
									continue
								}
								other.ReportCrash(Crash{
									Attempt:   attempt,
									Endpoint:  "late" + strconv.Itoa(i),
									Identity:  1,
									StartedAt: began,
									EndedAt:   time.Now(),
								})
							}
						})
					}
					time.Sleep(every)
				}
				synctest.Wait()
				t.Logf("%d requests ran", ran)
				is.True(ran >= row.least && ran <= row.most)
			})
		})
	}
}

// TestRetestTurnDelay guards against instances that admit requests at the same time after a ban,
// and against turns that together take longer than a first ban in a large fleet.
func TestRetestTurnDelay(t *testing.T) {
	for _, row := range []struct {
		name string
		turn RetestTurn
		wait time.Duration
	}{
		{"only instance", RetestTurn{}, 0},
		{"the first of six", RetestTurn{Position: 0, Instances: 6}, 0},
		{"the last of six", RetestTurn{Position: 5, Instances: 6}, 5 * retestDelay},
		{"the last of 1,200", RetestTurn{Position: 1199, Instances: 1200}, firstBanDuration - firstBanDuration/1200},
	} {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(row.turn.delay(), row.wait)
		})
	}
}
