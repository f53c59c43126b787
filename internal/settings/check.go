package settings

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"pollenspindle.example/pollenspindle/internal/strictjson"
)

// DefaultLogLevel is used when log.level is empty.
const DefaultLogLevel = "info"

// The values of trace.exporter.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterFile   = "file"
	ExporterOTLP   = "otlp"
)

// maxAccepted limits the keys that are accepted in addition to the own one: a key rotation needs
// one, a second rotation that starts before the first ends needs two. Each makes it more expensive
// to reject a wrong token.
const maxAccepted = 2

// maxCallerTraces is about the number of requests that an instance can serve in a second.
const maxCallerTraces = 1000

// keyBytes is the length of a key in bytes, which equals that of the SHA-256 that the keys are used
// with.
const keyBytes = 32

var (
	logLevels = []string{"debug", "info", "warn", "error"}
	exporters = []string{ExporterNone, ExporterStdout, ExporterFile, ExporterOTLP}
	policies  = []string{
		string(PolicyPredicted), string(PolicyRoundRobin),
		string(PolicyLeastRequests), string(PolicyEngineQueue),
	}
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	sumPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// check adds the faults of decoded values to doc.
func check(doc *strictjson.Document, s Settings) {
	c := checker{doc}
	c.name("instance", s.Instance)
	c.name("region", s.Region)
	c.name("zone", s.Zone)
	c.addresses(s)
	c.platformURL(s.PlatformURL)
	c.key("peerKey", s.PeerKey)
	c.key("generationKey", s.GenerationKey)
	c.sum("operatorTokenSha256", s.OperatorTokenSHA256)
	c.accepted(s)
	c.oneOf("log.level", s.Log.Level, logLevels)
	c.oneOf("policy", string(s.Policy), policies)
	checkMemory(c, s.MemoryMegabytes)
	checkConnections(c, s.Connections)
	c.trace(s.Trace)
	c.timing(s.Timing)
}

// checker adds a fault to a field only if decoding found none there: a field of the wrong type has
// a zero value and would be reported as missing too.
type checker struct{ doc *strictjson.Document }

func (c checker) add(path, format string, args ...any) {
	if !c.doc.HasFault(path) {
		c.doc.AddFault(path, fmt.Sprintf(format, args...))
	}
}

// missing reports whether value is empty, and adds a fault if so.
func (c checker) missing(path, value string) bool {
	if value == "" {
		c.add(path, "is missing")
	}
	return value == ""
}

func (c checker) name(path, value string) {
	if !c.missing(path, value) && !namePattern.MatchString(value) {
		c.add(path, "must be 1 to 63 letters, digits, dots, underscores or hyphens and begin with a letter or digit")
	}
}

// addresses checks the addresses at which others reach the instance, and its listening addresses.
func (c checker) addresses(s Settings) {
	external := []address{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"operatorAddress", s.OperatorAddress},
	}
	for _, a := range external {
		c.missing(a.path, a.value)
	}
	c.checkAddresses(external, false)
	c.checkAddresses([]address{
		{"listen.callerAddress", s.Listen.CallerAddress},
		{"listen.peerAddress", s.Listen.PeerAddress},
		{"listen.operatorAddress", s.Listen.OperatorAddress},
	}, true)
}

type address struct{ path, value string }

// checkAddresses checks that the non-empty addresses are valid and differ from each other. Of two
// listeners on one address the second would fail at its start, after the first accepted requests.
func (c checker) checkAddresses(addresses []address, allowUnspecified bool) {
	first := map[string]string{}
	for _, a := range addresses {
		if a.value == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(a.value)
		if err != nil || addr.Port() == 0 || (!allowUnspecified && addr.Addr().IsUnspecified()) {
			c.add(a.path, "must be host:port with an IP number that others can reach and a port from 1 to 65535")
			continue
		}
		if other, taken := first[addr.String()]; taken {
			c.add(a.path, "must differ from %s", other)
			continue
		}
		first[addr.String()] = a.path
	}
}

func (c checker) platformURL(value string) {
	if c.missing("platformUrl", value) {
		return
	}
	if !isHTTP(value) {
		c.add("platformUrl", "must be an http or https URL with a host")
	}
}

func (c checker) key(path, value string) {
	if c.missing(path, value) {
		return
	}
	raw, err := base64.StdEncoding.DecodeString(value)
	if err != nil || len(raw) != keyBytes {
		c.add(path, "must be the base64 of %d bytes", keyBytes)
	}
}

func (c checker) sum(path, value string) {
	if !c.missing(path, value) && !sumPattern.MatchString(value) {
		c.add(path, "must be a SHA-256 in 64 lower-case hex digits")
	}
}

// accepted checks the elements of each list like the field that they are accepted in addition to. A
// duplicate is a mistake in a key rotation: the old key where the new one should be.
func (c checker) accepted(s Settings) {
	for _, list := range []struct {
		path, own string
		values    []string
		check     func(path, value string)
	}{
		{"accepted.peerKeys", s.PeerKey, s.Accepted.PeerKeys, c.key},
		{"accepted.generationKeys", s.GenerationKey, s.Accepted.GenerationKeys, c.key},
		{"accepted.operatorTokensSha256", s.OperatorTokenSHA256, s.Accepted.OperatorTokensSHA256, c.sum},
	} {
		if len(list.values) > maxAccepted {
			c.add(list.path, "must hold at most %d", maxAccepted)
		}
		seen := []string{list.own}
		for i, value := range list.values {
			path := fmt.Sprintf("%s[%d]", list.path, i)
			list.check(path, value)
			if value != "" && slices.Contains(seen, value) {
				c.add(path, "is given already")
			}
			seen = append(seen, value)
		}
	}
}

func (c checker) oneOf(path, value string, allowed []string) {
	if value != "" && !slices.Contains(allowed, value) {
		c.add(path, "must be one of %s", strings.Join(allowed, ", "))
	}
}

func (c checker) trace(t Trace) {
	c.oneOf("trace.exporter", t.Exporter, exporters)
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		c.add("trace.sampleRatio", "must be from 0 to 1")
	}
	if t.CallerTracesPerSecond < 0 || t.CallerTracesPerSecond > maxCallerTraces {
		c.add("trace.callerTracesPerSecond", "must be from 0 to %d", maxCallerTraces)
	}
	switch t.Exporter {
	case ExporterFile:
		c.missing("trace.endpoint", t.Endpoint)
	case ExporterOTLP:
		if !c.missing("trace.endpoint", t.Endpoint) && !isHTTP(t.Endpoint) {
			c.add("trace.endpoint", "must be an http or https URL with a host")
		}
	}
}

// timing checks the range of each field, then that heartbeats fit into the time to confirm.
func (c checker) timing(t Timing) {
	for _, f := range timingFields(&t) {
		if *f.value == 0 {
			*f.value = f.defaultValue
		}
		if *f.value < f.min || *f.value > f.max {
			c.add("timing."+f.name, "must be from %d to %d %s", f.min, f.max, f.unit)
		}
	}
	// A single lost heartbeat must not make an instance refuse requests.
	if t.ConfirmMillis < 2*t.HeartbeatMillis {
		c.add("timing.confirmMillis", "must be at least twice heartbeatMillis (%d)", t.HeartbeatMillis)
	}
}

func isHTTP(value string) bool {
	u, err := url.Parse(value)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
