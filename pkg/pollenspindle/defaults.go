package pollenspindle

// DefaultLimits holds the defaults for fields of [Limits] that are zero.
var DefaultLimits = Limits{
	MaxBodyBytes:          1 << 20,
	MaxOutputTokens:       32768,
	ClaimRetentionSeconds: 24 * 60 * 60,
}

// Defaults of a [Service] and a [Workspace].
const (
	DefaultTimeoutSeconds      = 30
	DefaultQueueSeconds        = 20
	DefaultPatientQueueSeconds = 600
	// DefaultTokenIntervalTargetMillis is the time between tokens, in
	// milliseconds, at which text appears about as fast as people read.
	DefaultTokenIntervalTargetMillis = 42
	DefaultWeight                    = 100
)

// WithDefaults returns a copy of c with defaults for its zero fields. Empty
// states become in service. c itself is not changed.
func (c Config) WithDefaults() Config {
	c = c.withoutStateDefaults()
	c.Zones = append([]Zone(nil), c.Zones...)
	for i := range c.Zones {
		if c.Zones[i].State == "" {
			c.Zones[i].State = ZoneInService
		}
	}
	c.Servers = append([]Server(nil), c.Servers...)
	for i := range c.Servers {
		if c.Servers[i].State == "" {
			c.Servers[i].State = ServerInService
		}
	}
	return c
}

// withoutStateDefaults returns a copy of c with all defaults except the states.
func (c Config) withoutStateDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	c.Services = append([]Service(nil), c.Services...)
	for i := range c.Services {
		c.Services[i] = c.Services[i].withDefaults()
	}
	return c
}

// KeepStates returns a copy of c in which each availability zone and backend
// server without a state gets its state in current.
//
// The program that prints a configuration does not know which zones were
// drained since. If it printed inService, applying its output for another
// reason would send work to a zone that operators have drained.
func (c Config) KeepStates(current Config) Config {
	zones := make(map[string]ZoneState, len(current.Zones))
	for _, zone := range current.Zones {
		zones[zone.Name] = zone.State
	}
	servers := make(map[string]ServerState, len(current.Servers))
	for _, server := range current.Servers {
		servers[server.Name] = server.State
	}
	c.Zones = append([]Zone(nil), c.Zones...)
	for i := range c.Zones {
		if c.Zones[i].State == "" {
			c.Zones[i].State = zones[c.Zones[i].Name]
		}
	}
	c.Servers = append([]Server(nil), c.Servers...)
	for i := range c.Servers {
		if c.Servers[i].State == "" {
			c.Servers[i].State = servers[c.Servers[i].Name]
		}
	}
	return c
}

func (l Limits) withDefaults() Limits {
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, DefaultLimits.MaxBodyBytes)
	l.MaxOutputTokens = orDefault(l.MaxOutputTokens, DefaultLimits.MaxOutputTokens)
	l.ClaimRetentionSeconds = orDefault(l.ClaimRetentionSeconds, DefaultLimits.ClaimRetentionSeconds)
	return l
}

func (s Service) withDefaults() Service {
	s.QueueSeconds = orDefault(s.QueueSeconds, DefaultQueueSeconds)
	s.PatientQueueSeconds = orDefault(s.PatientQueueSeconds, DefaultPatientQueueSeconds)
	switch s.Kind {
	case ServicePlain:
		s.TimeoutSeconds = orDefault(s.TimeoutSeconds, DefaultTimeoutSeconds)
	case ServiceGeneration:
		s.TokenIntervalTargetMillis = orDefault(s.TokenIntervalTargetMillis, DefaultTokenIntervalTargetMillis)
	}
	return s
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
