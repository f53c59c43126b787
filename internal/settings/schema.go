package settings

import (
	"pollenspindle.example/pollenspindle/internal/fieldschema"
)

// redacted replaces keys in output.
const redacted = "(set)"

// Redacted returns s with its keys redacted.
func (s Settings) Redacted() Settings {
	s.PeerKey, s.GenerationKey = redacted, redacted
	s.Accepted.PeerKeys = withoutKeys(s.Accepted.PeerKeys)
	s.Accepted.GenerationKeys = withoutKeys(s.Accepted.GenerationKeys)
	return s
}

func withoutKeys(keys []string) []string {
	var out []string
	for range keys {
		out = append(out, redacted)
	}
	return out
}

// Schema returns the indented JSON Schema of a settings file. A settings file may contain comments,
// which have to be removed before validation.
func Schema() ([]byte, error) {
	return fieldschema.Print(&Settings{}, "Settings of an entry instance", schemaFields())
}

func schemaFields() map[string]fieldschema.Field {
	name, sum := namePattern.String(), sumPattern.String()
	fields := map[string]fieldschema.Field{
		"Settings.instance":             {Required: true, Pattern: name, Description: "Name of this entry instance, unique in the deployment. No unit."},
		"Settings.region":               {Required: true, Pattern: name, Description: "Region that the instance runs in. No unit."},
		"Settings.zone":                 {Required: true, Pattern: name, Description: "Availability zone that the instance runs in. No unit."},
		"Settings.callerAddress":        {Required: true, Description: "Where callers reach the instance, host:port by IP number."},
		"Settings.peerAddress":          {Required: true, Description: "Where other entry instances reach the instance, host:port by IP number."},
		"Settings.operatorAddress":      {Required: true, Description: "Where operators reach the instance, host:port by IP number."},
		"Settings.platformUrl":          {Required: true, Description: "Base URL of the platform's object API and instance list."},
		"Settings.peerKey":              {Required: true, Description: "Key with which entry instances authenticate each other: base64 of 32 bytes, the same on all."},
		"Settings.generationKey":        {Required: true, Description: "Key that authenticates generation ids: base64 of 32 bytes, the same on all."},
		"Settings.operatorTokenSha256":  {Required: true, Pattern: sum, Description: "SHA-256 of the operators' token, 64 lower-case hex digits."},
		"Settings.accepted":             {Description: "What is accepted beside the keys and the token above, while they are exchanged."},
		"Accepted.peerKeys":             {Description: "Further keys of other entry instances, each the base64 of 32 bytes; at most 2."},
		"Accepted.generationKeys":       {Description: "Further keys of generation ids, each the base64 of 32 bytes; at most 2."},
		"Accepted.operatorTokensSha256": {Pattern: sum, Description: "SHA-256 of further operators' tokens, 64 lower-case hex digits each; at most 2."},
		"Settings.listen":               {Description: "Listening addresses, where they differ from those at which others reach the instance."},
		"Listen.callerAddress":          {Description: "Listening address for callers, host:port by IP number; empty takes callerAddress."},
		"Listen.peerAddress":            {Description: "Listening address for other entry instances, host:port by IP number; empty takes peerAddress."},
		"Listen.operatorAddress":        {Description: "Listening address for operators, host:port by IP number; empty takes operatorAddress."},
		"Settings.log":                  {Description: "How much is logged."},
		"Settings.trace":                {Description: "Where spans go."},
		"Settings.timing":               {Description: "Periods and timeouts; fields that are absent or 0 take their defaults."},
		"Settings.policy":               {Enum: policies, Default: string(PolicyPredicted), Description: "Policy of admission and placement. No unit."},
		"Settings.seed":                 {Description: "Seed of random choices; 0 takes one from the system. No unit."},
		"Settings.memoryMegabytes":      {Range: fieldschema.Between(0, maxMemoryMegabytes), Default: DefaultMemoryMegabytes, Description: "Memory that the process may use, in MB; 0 takes the default."},
		"Settings.connections":          {Description: "What the connections of clients may hold, at all addresses together."},
		"Connections.max":               {Range: fieldschema.Between(0, maxConnections), Description: "Most open connections; 0 takes a third of the descriptors that the process may open."},
		"Connections.megabytes":         {Range: fieldschema.Between(0, maxMemoryMegabytes), Description: "Memory of connections and heads of requests, in MB; 0 takes a fifth of the memory of the process."},
		"Log.level":                     {Enum: logLevels, Default: DefaultLogLevel, Description: "Least level that is logged. No unit."},
		"Trace.exporter":                {Enum: exporters, Default: ExporterNone, Description: "Exporter of spans. No unit."},
		"Trace.endpoint":                {Description: "For otlp the OTLP/HTTP URL, for file a path."},
		"Trace.sampleRatio":             {Range: fieldschema.Between(0, 1), Description: "Share of requests that are traced, a ratio."},
		"Trace.callerTracesPerSecond":   {Range: fieldschema.Between(0, maxCallerTraces), Default: DefaultCallerTracesPerSecond, Description: "Most requests a second that are traced because their callers ask for it; 0 takes the default."},
	}
	for _, f := range timingFields(&Timing{}) {
		fields["Timing."+f.name] = fieldschema.Field{
			Description: timingPurpose[f.name] + " In " + f.unit + "; 0 takes the default.",
			Range:       fieldschema.Between(0, f.max), Default: f.defaultValue,
		}
	}
	return fields
}

// timingPurpose describes each field of [Timing].
var timingPurpose = map[string]string{
	"heartbeatMillis": "Period of heartbeats between entry instances.",
	"loadPollMillis":  "Period of load reports from owned backend servers.",
	"permitMillis":    "How long a permit may be used after it was asked for.",
	"confirmMillis":   "How long an instance takes new work after it last confirmed its configuration.",
	"stallMillis":     "How long a stream may be silent before it is probed.",
	"addressSeconds":  "How long callers may keep an answer of /v1/instances.",
	"stopSeconds":     "How long a shutdown waits for streams to end.",
}
