// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package settings holds the settings of one process: where it runs, where it listens, and where
// it finds the platform's services. They are read from a TOML file that is separate from the
// configuration that operators publish. The package doesn't read environment variables.
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

// File contains the settings of one process. On a platform with a store, Strategy, LogDecisions
// and TLS have no effect. On a platform with a log, ReadyListen, FirstStart, ProcessorShare,
// LinkMbps, Retries, Cold and Worth have none.
type File struct {
	// EndMarker states that the file ends with the table End. Without it, a file that is cut off
	// can't be told from a complete one.
	EndMarker bool `toml:"end_marker"`
	// End is an empty table at the end of the file.
	End *struct{} `toml:"end"`
	// ID is the instance's ID in the platform's list of instances.
	ID string `toml:"id"`
	// Region is the region that the instance runs in.
	Region string `toml:"region"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `toml:"failure_domain"`
	// Listen is the address for callers; the default is "127.0.0.1:8080".
	Listen string `toml:"listen"`
	// PeerListen is the address for other instances; the default is "127.0.0.1:8081".
	PeerListen string `toml:"peer_listen"`
	// AdminListen is the address for operators; the default is "127.0.0.1:8082".
	AdminListen string `toml:"admin_listen"`
	// ReadyListen is the address for the readiness checks of a load balancer; the default is
	// "127.0.0.1:8083".
	ReadyListen string `toml:"ready_listen"`
	// EndpointSource is the local IP address of connections to endpoints, for a host with several;
	// by default the system chooses one.
	EndpointSource string `toml:"endpoint_source"`
	// FirstStart is set if all instances are starting at the same time, so that their entries
	// appear in the store only gradually.
	FirstStart bool `toml:"first_start"`
	// ProcessorShare is the number of processor cores that the instance may use; the default is
	// 1. Instances with more take a larger part of the work.
	ProcessorShare float64 `toml:"processor_share"`
	// LinkMbps is the speed of the instance's network link in Mbit/s; zero means that the link
	// doesn't limit the instance's capacity.
	LinkMbps float64 `toml:"link_mbps"`
	// MemoryMB is the memory that the process may use, in units of 10^6 bytes; zero means that the
	// limit isn't known.
	MemoryMB float64 `toml:"memory_mb"`
	// Retries limits how many requests are sent to endpoints again.
	Retries Retries `toml:"retries"`
	// Cold limits the requests that are sent to endpoints that have just started.
	Cold Cold `toml:"cold"`
	// Worth determines the worth of requests.
	Worth worth.Settings `toml:"worth"`
	// Peers are the peer addresses of instances that a starting instance contacts. On a platform
	// with a log, the starting instance asks them for the list of instances while the platform
	// doesn't provide the list, and for the configuration while it knows no other instances. On a
	// platform with a store, it asks them for instances to follow, so that few instances read the
	// store. All instances should have the same addresses in the same order. Peers may include
	// the instance's own address and those of stopped instances, and may be empty.
	Peers []string `toml:"peers"`
	// Strategy is "weighed", which is the default, or "naive".
	Strategy string `toml:"strategy"`
	// LogDecisions determines whether each placement decision is logged; the default is true.
	LogDecisions *bool `toml:"log_decisions"`
	// Platform contains the addresses of the platform's services.
	Platform Platform `toml:"platform"`
	// TLS contains the files for connections between instances on a platform with a log; if it is
	// empty, these are not encrypted. On a platform with a store they are never encrypted.
	TLS TLS `toml:"tls"`
	// Times contains intervals, time limits and a traffic limit.
	Times Times `toml:"times"`
}

// Platform contains the addresses of the platform's services, each as host and port.
type Platform struct {
	// Log is the append-only log.
	Log string `toml:"log"`
	// Instances is the list of instances.
	Instances string `toml:"instances"`
	// Weights is the weight store. If it is empty, endpoints keep their models and adapters.
	Weights string `toml:"weights"`
	// Store is the platform's store of configurations and endpoints. If it is set, the other
	// services are not used.
	Store string `toml:"store"`
}

// Retries limits how many requests are sent to endpoints again, for each service and over all
// instances: in any window at most Ratio times the number of requests, plus Extra.
type Retries struct {
	// Ratio is a fraction of the requests; the default is 0.1.
	Ratio float64 `toml:"ratio"`
	// Extra is a number of requests; the default is 10.
	Extra float64 `toml:"extra"`
	// Window is the length of the window; the default is 10s.
	Window config.Duration `toml:"window"`
}

// Cold limits the requests that a cold endpoint receives in any second from all instances
// together: Overage times the configured rate of a cold endpoint, plus Slack.
type Cold struct {
	// Overage is a factor of the rate; zero means that there is no limit.
	Overage float64 `toml:"overage"`
	// Slack is a number of requests.
	Slack float64 `toml:"slack"`
}

// TLS contains the files for mutual authentication between instances. Either all of them are set
// or none.
type TLS struct {
	// Certificate is the file with the instance's certificate, in PEM.
	Certificate string `toml:"certificate"`
	// Key is the file with the certificate's private key, in PEM.
	Key string `toml:"key"`
	// Authorities is the file with the certificates of the authorities that sign those of peers,
	// in PEM.
	Authorities string `toml:"authorities"`
}

// Times contains intervals, time limits and a traffic limit. Zero selects the default. Only
// StopWithin has an effect on both kinds of platforms; Revoke and RevokeStrict have one only on a
// platform with a store, and the others only on a platform with a log.
type Times struct {
	// Drain is how long a stopping instance still accepts requests, because the load balancer
	// takes some time to stop sending them; the default is 5s.
	Drain config.Duration `toml:"drain"`
	// StopWithin is the maximum time for a planned stop; the default is 15m.
	StopWithin config.Duration `toml:"stop_within"`
	// Revoke is the time after which a revoked key must be refused; zero means no limit.
	Revoke config.Duration `toml:"revoke"`
	// RevokeStrict determines what an instance does with requests that need a key while its
	// configuration is too old to guarantee Revoke. If RevokeStrict is true, which is the
	// default, the instance refuses such requests; otherwise it serves them by the newest
	// configuration that it has.
	RevokeStrict *bool `toml:"revoke_strict"`
	// Watch is the shortest interval at which other owners send the instance summaries of their
	// endpoints; the default is 200ms.
	Watch config.Duration `toml:"watch"`
	// WatchBytesPerSecond limits the summaries that the instance receives of other instances'
	// endpoints. If necessary, the instance requests them at a longer interval than Watch. The
	// default is 4000.
	WatchBytesPerSecond int `toml:"watch_bytes_per_second"`
	// Probe is the interval at which peers are probed; the default is 500ms.
	Probe config.Duration `toml:"probe"`
	// Sweep is the interval at which the status of each endpoint is compared with its leases;
	// the default is 1s.
	Sweep config.Duration `toml:"sweep"`
	// Confirm is how long after its last confirmation the holder of a lease is asked about it;
	// the default is 3s.
	Confirm config.Duration `toml:"confirm"`
	// RepeatConfiguration is the age at which the configuration is written to the log again; the
	// default is 4h. It must be less than half of the log's retention.
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
	// Weighed selects policy.Weighed.
	Weighed = "weighed"
	// Naive selects policy.Naive, the baseline for comparisons.
	Naive = "naive"
)

// bytesPerMB is the unit of MemoryMB.
const bytesPerMB = 1e6

// MemoryBytes returns MemoryMB in bytes.
func (f *File) MemoryBytes() int64 {
	return int64(f.MemoryMB * bytesPerMB)
}

// Read reads the settings from a file and checks them.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	f, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return f, nil
}

// Parse decodes settings and checks them. The error names all unknown keys, the first value that
// can't be decoded, or all invalid values.
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

// describeDecodeError returns an error that contains the position of a decoding error.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.New("unknown keys:\n" + strict.String())
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return errors.New(decodeErr.String())
	}
	return err
}

// SetDefaults replaces zero values by the defaults.
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

// validate returns an error that lists all invalid values.
func (f *File) validate() error {
	var wrong []string
	need := func(name, v string) {
		if v == "" {
			wrong = append(wrong, name+" is missing")
		}
	}
	if f.EndMarker && f.End == nil {
		wrong = append(wrong, "end is missing, the file may be cut off")
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
	if f.EndpointSource != "" && net.ParseIP(f.EndpointSource) == nil {
		wrong = append(wrong, "endpoint_source must be an IP address, is `"+f.EndpointSource+"`")
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
		"memory_mb":       f.MemoryMB,
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
