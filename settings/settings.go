// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package settings holds the settings of one process: where it runs, where it
// listens, and where it finds the platform. They are a small TOML file, apart
// from the configuration that operators publish. Nothing is read from the
// environment.
package settings

import (
	"bytes"
	"net"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/worth"
)

// File is the settings of one process.
type File struct {
	// ID names the instance. It is the id on the platform's list.
	ID string `toml:"id"`
	// Region is the region that the instance runs in.
	Region string `toml:"region"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `toml:"failure_domain"`
	// Listen is where callers connect; the default is "127.0.0.1:8080".
	Listen string `toml:"listen"`
	// PeerListen is where other instances connect; the default is
	// "127.0.0.1:8081".
	PeerListen string `toml:"peer_listen"`
	// AdminListen is where operators connect; the default is "127.0.0.1:8082".
	AdminListen string `toml:"admin_listen"`
	// ReadyListen is where a balancer asks whether an instance on a platform
	// with a store is ready; the default is "127.0.0.1:8083".
	ReadyListen string `toml:"ready_listen"`
	// FirstStart states that all instances start for the first time, so that it
	// takes a moment until they know each other.
	FirstStart bool `toml:"first_start"`
	// ProcessorShare is the part of a processor core that the instance has; the
	// default is 1. Instances with more of it carry more.
	ProcessorShare float64 `toml:"processor_share"`
	// LinkMbps is the speed of the instance's link in Mbit/s; zero means that it
	// does not bind.
	LinkMbps float64 `toml:"link_mbps"`
	// Retries bounds how many requests are sent to endpoints again.
	Retries Retries `toml:"retries"`
	// Cold bounds what endpoints get that have just started.
	Cold Cold `toml:"cold"`
	// Worth says what answers are worth to who pays for them.
	Worth worth.Settings `toml:"worth"`
	// Peers are peer addresses of instances, asked at a start: on a platform with a
	// log while that does not answer, on one with a store at each start, so that few
	// instances read it. They should be the same ones at all instances and may have
	// this one among them; some may be gone. None is needed.
	Peers []string `toml:"peers"`
	// Strategy is "weighed" (the default) or "naive", the baseline.
	Strategy string `toml:"strategy"`
	// LogDecisions states whether a line is written for each decision; the
	// default is true.
	LogDecisions *bool `toml:"log_decisions"`
	// Platform is where the platform's services are.
	Platform Platform `toml:"platform"`
	// TLS are the keys for connections between instances; without them the
	// connections are in the clear.
	TLS TLS `toml:"tls"`
	// Times are the measures that operators may want to change.
	Times Times `toml:"times"`
}

// Platform is where the platform's services are, each as host and port.
type Platform struct {
	// Log is the append-only log.
	Log string `toml:"log"`
	// Instances is the list of instances.
	Instances string `toml:"instances"`
	// Weights is the weight store. Without it endpoints are left as they are.
	Weights string `toml:"weights"`
	// Store is the platform's store of configurations and endpoints. With it
	// the instance takes both from there, and none of the others is used.
	Store string `toml:"store"`
}

// Retries bounds how many requests are sent to endpoints again, for each service
// and over all instances: in any window at most Ratio of the requests plus Extra.
type Retries struct {
	// Ratio is the part of the requests; the default is 0.1.
	Ratio float64 `toml:"ratio"`
	// Extra is how many more; the default is 10.
	Extra float64 `toml:"extra"`
	// Window is the length of the window; the default is 10s.
	Window config.Duration `toml:"window"`
}

// Cold bounds what an endpoint that is cold gets in any second, over all instances:
// Overage times the rate that the configuration says such an endpoint bears, plus Slack.
type Cold struct {
	// Overage is a factor of the rate; zero means that there is no bound.
	Overage float64 `toml:"overage"`
	// Slack is a number of requests.
	Slack float64 `toml:"slack"`
}

// TLS are the files for mutual authentication between instances.
type TLS struct {
	// Certificate is the instance's certificate, in PEM.
	Certificate string `toml:"certificate"`
	// Key is the certificate's private key, in PEM.
	Key string `toml:"key"`
	// Authorities are the certificates that sign those of peers, in PEM.
	Authorities string `toml:"authorities"`
}

// Times are the measures that operators may want to change. A zero value means
// the default.
type Times struct {
	// Drain is how long a stopping instance goes on taking requests, because
	// the balancer goes on sending; the default is 5s.
	Drain config.Duration `toml:"drain"`
	// StopWithin bounds a planned stop; the default is 15m.
	StopWithin config.Duration `toml:"stop_within"`
	// Revoke is how soon keys that were taken away must be refused. Zero means
	// that there is no bound.
	Revoke config.Duration `toml:"revoke"`
	// RevokeStrict states that Revoke binds instances that are out of touch, too:
	// one that can't tell for that long whether a key still holds refuses requests
	// with keys. The default is true; if false it serves on by the newest
	// configuration that it knows.
	RevokeStrict *bool `toml:"revoke_strict"`
	// Watch is how often owners tell of their endpoints; the default is 200ms.
	Watch config.Duration `toml:"watch"`
	// WatchBytesPerSecond bounds what the instance hears of others' endpoints,
	// if need be by hearing it less often; the default is 4000. The size of
	// docs/CAPACITY.md takes 750.
	WatchBytesPerSecond int `toml:"watch_bytes_per_second"`
	// Probe is how often peers are probed; the default is 500ms.
	Probe config.Duration `toml:"probe"`
	// Sweep is how often endpoints are compared with leases; the default is 1s.
	Sweep config.Duration `toml:"sweep"`
	// Confirm is how long a lease goes unheard of before its holder is asked;
	// the default is 3s. The size of docs/CAPACITY.md takes 30s.
	Confirm config.Duration `toml:"confirm"`
	// RepeatConfiguration is the age at which the configuration is written to
	// the log again; the default is 4h. It must be below half of the log's
	// retention.
	RepeatConfiguration config.Duration `toml:"repeat_configuration"`
}

// The defaults of File.
const (
	defaultListen = "127.0.0.1:8080"
	defaultPeer   = "127.0.0.1:8081"
	defaultAdmin  = "127.0.0.1:8082"
	defaultReady  = "127.0.0.1:8083"
	defaultDrain  = 5 * time.Second
	defaultStop   = 15 * time.Minute
	defaultWatch  = 200 * time.Millisecond

	defaultWatchBytes = 4000

	defaultProcessorShare = 1
	defaultRetryRatio     = 0.1
	defaultRetryExtra     = 10
	defaultRetryWindow    = 10 * time.Second
)

// The strategies.
const (
	// Weighed is the strategy of package policy.
	Weighed = "weighed"
	// Naive is the baseline: a random endpoint, in order of arrival.
	Naive = "naive"
)

// Read reads and checks a file.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	f, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return f, nil
}

// Parse reads and checks settings. The error names all that is wrong.
func Parse(data []byte) (*File, error) {
	f := &File{}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(f); err != nil {
		return nil, describeDecodeError(err)
	}
	f.SetDefaults()
	if err := f.validate(); err != nil {
		return nil, err
	}
	return f, nil
}

// describeDecodeError adds the place to a decoder's error.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.New("unknown keys:\n" + strict.String())
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		return errors.New(one.String())
	}
	return err
}

// SetDefaults fills what is left out.
func (f *File) SetDefaults() {
	defaultString(&f.Listen, defaultListen)
	defaultString(&f.PeerListen, defaultPeer)
	defaultString(&f.AdminListen, defaultAdmin)
	defaultString(&f.ReadyListen, defaultReady)
	defaultString(&f.Strategy, Weighed)
	defaultTrue(&f.LogDecisions)
	defaultTrue(&f.Times.RevokeStrict)
	defaultDuration(&f.Times.Drain, defaultDrain)
	defaultDuration(&f.Times.StopWithin, defaultStop)
	defaultDuration(&f.Times.Watch, defaultWatch)
	defaultDuration(&f.Retries.Window, defaultRetryWindow)
	defaultFloat(&f.Retries.Ratio, defaultRetryRatio)
	defaultFloat(&f.Retries.Extra, defaultRetryExtra)
	defaultFloat(&f.ProcessorShare, defaultProcessorShare)
	if f.Times.WatchBytesPerSecond == 0 {
		f.Times.WatchBytesPerSecond = defaultWatchBytes
	}
}

func defaultString(v *string, def string) {
	if *v == "" {
		*v = def
	}
}

func defaultTrue(v **bool) {
	if *v == nil {
		yes := true
		*v = &yes
	}
}

func defaultFloat(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}

func defaultDuration(v *config.Duration, def time.Duration) {
	if *v == 0 {
		*v = config.Duration(def)
	}
}

// validate returns an error that names all that is wrong.
func (f *File) validate() error {
	var wrong []string
	need := func(name, v string) {
		if v == "" {
			wrong = append(wrong, name+" is missing")
		}
	}
	need("id", f.ID)
	need("region", f.Region)
	need("failure_domain", f.FailureDomain)
	addresses := map[string]string{
		"listen":       f.Listen,
		"peer_listen":  f.PeerListen,
		"admin_listen": f.AdminListen,
		"ready_listen": f.ReadyListen,
	}
	if f.Platform.Store != "" {
		addresses["platform.store"] = f.Platform.Store
	} else {
		addresses["platform.log"] = f.Platform.Log
		addresses["platform.instances"] = f.Platform.Instances
	}
	for name, v := range addresses {
		if _, _, err := net.SplitHostPort(v); err != nil {
			wrong = append(wrong, name+" must be a host and port, is "+`"`+v+`"`)
		}
	}
	if f.Strategy != Weighed && f.Strategy != Naive {
		wrong = append(wrong, `strategy must be "weighed" or "naive"`)
	}
	if t := f.TLS; t != (TLS{}) && (t.Certificate == "" || t.Key == "" || t.Authorities == "") {
		wrong = append(wrong, "tls needs certificate, key and authorities together")
	}
	if err := f.Worth.Check(); err != nil {
		wrong = append(wrong, "worth."+err.Error())
	}
	if f.Times.WatchBytesPerSecond < 0 {
		wrong = append(wrong, "times.watch_bytes_per_second must not be below zero")
	}
	for name, v := range map[string]float64{
		"processor_share": f.ProcessorShare,
		"link_mbps":       f.LinkMbps,
		"retries.ratio":   f.Retries.Ratio,
		"retries.extra":   f.Retries.Extra,
		"cold.overage":    f.Cold.Overage,
		"cold.slack":      f.Cold.Slack,
	} {
		if v < 0 {
			wrong = append(wrong, name+" must not be below zero")
		}
	}
	for name, d := range map[string]config.Duration{
		"retries.window":             f.Retries.Window,
		"times.revoke":               f.Times.Revoke,
		"times.drain":                f.Times.Drain,
		"times.stop_within":          f.Times.StopWithin,
		"times.watch":                f.Times.Watch,
		"times.probe":                f.Times.Probe,
		"times.sweep":                f.Times.Sweep,
		"times.confirm":              f.Times.Confirm,
		"times.repeat_configuration": f.Times.RepeatConfiguration,
	} {
		if d < 0 {
			wrong = append(wrong, name+" must not be below zero")
		}
	}
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "\n"))
	}
	return nil
}
