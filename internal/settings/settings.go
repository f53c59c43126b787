// Package settings reads the settings file of one process: JSON with comments, decoded strictly,
// with all faults reported together by line and column.
//
// # Usage
//
//	s, err := settings.Load("instance.jsonc")
package settings

// Settings configures one entry instance at its start. Apart from the file's path there are no
// flags, and no environment variable overrides a setting.
type Settings struct {
	// Instance is the name of this entry instance, unique in the deployment.
	Instance string `json:"instance"`
	// Region and Zone are where the instance runs.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerAddress, PeerAddress and OperatorAddress are where others reach the instance, host:port
	// by IP number.
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// Listen is for an instance whose listening addresses differ from those at which others reach
	// it.
	Listen Listen `json:"listen"`
	// PlatformURL is the base URL of the object API and instance list.
	PlatformURL string `json:"platformUrl"`
	// PeerKey authenticates entry instances to each other; GenerationKey
	// authenticates generation ids. Base64 of 32 bytes, the same on all.
	PeerKey       string `json:"peerKey"`
	GenerationKey string `json:"generationKey"`
	// OperatorTokenSHA256 is the lower-case hex SHA-256 of the operators' token.
	OperatorTokenSHA256 string `json:"operatorTokenSha256"`
	// Accepted is used during a rotation of keys or of the token.
	Accepted Accepted `json:"accepted"`
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`
	Timing   Timing   `json:"timing"`
	// MemoryMegabytes is the memory that the process may use; 0 means [DefaultMemoryMegabytes].
	MemoryMegabytes int `json:"memoryMegabytes,omitempty"`
	// Connections limits what the connections of clients hold.
	Connections Connections `json:"connections,omitzero"`
	// Policy is the policy of admission and placement; empty means predicted.
	Policy Policy `json:"policy"`
	// Seed seeds random choices; 0 takes one from the system.
	Seed int64 `json:"seed"`
}

// Accepted holds keys and tokens that are accepted in addition to the instance's own, each in the
// format of the corresponding field. Instances are restarted one after the other, so during a
// rotation some use old keys and some new ones: without Accepted, instances would reject each
// other, and callers could not resume their generations. docs/OPERATING.md has the order of steps.
type Accepted struct {
	PeerKeys             []string `json:"peerKeys,omitempty"`
	GenerationKeys       []string `json:"generationKeys,omitempty"`
	OperatorTokensSHA256 []string `json:"operatorTokensSha256,omitempty"`
}

// Listen holds listening addresses, host:port by IP number. An empty one means the address at which
// others reach the instance.
type Listen struct {
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
}

// Policy is the policy of admission and placement. All but [PolicyPredicted] are baselines for
// comparison.
type Policy string

// The policies.
const (
	PolicyPredicted     Policy = "predicted"
	PolicyRoundRobin    Policy = "roundRobin"
	PolicyLeastRequests Policy = "leastRequests"
	PolicyEngineQueue   Policy = "engineQueue"
)

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level"`
}

// Trace configures the export of spans.
type Trace struct {
	// Exporter is none, stdout, file or otlp; empty means none.
	Exporter string `json:"exporter"`
	// Endpoint is the OTLP/HTTP URL for otlp and a path for file.
	Endpoint string `json:"endpoint"`
	// SampleRatio is the fraction of requests that are traced, from 0 to 1.
	SampleRatio float64 `json:"sampleRatio"`
	// CallerTracesPerSecond limits the requests that are traced because their callers sampled
	// them; 0 means [DefaultCallerTracesPerSecond].
	CallerTracesPerSecond int `json:"callerTracesPerSecond"`
}

// DefaultCallerTracesPerSecond is the default of CallerTracesPerSecond. It is enough for a few
// developers who inspect their own requests, and a hundredth of what an instance can serve.
const DefaultCallerTracesPerSecond = 10

// Timing holds the periods and timeouts of an instance. Zero fields take their values from
// [DefaultTiming].
type Timing struct {
	// HeartbeatMillis is the period of heartbeats between peers.
	HeartbeatMillis int `json:"heartbeatMillis"`
	// LoadPollMillis is the period of load reports from owned backend servers.
	LoadPollMillis int `json:"loadPollMillis"`
	// PermitMillis is how long a permit may be used after it was requested.
	PermitMillis int `json:"permitMillis"`
	// ConfirmMillis is how long an instance accepts requests after it last confirmed its
	// configuration with the platform or a peer.
	ConfirmMillis int `json:"confirmMillis"`
	// StallMillis is how long a stream may be silent before it is probed.
	StallMillis int `json:"stallMillis"`
	// AddressSeconds is how long callers may cache a response of /v1/instances.
	AddressSeconds int `json:"addressSeconds"`
	// StopSeconds is how long a shutdown waits for streams to end.
	StopSeconds int `json:"stopSeconds"`
}

// DefaultTiming holds the values of [Timing] fields that are zero.
var DefaultTiming = Timing{
	HeartbeatMillis: 500,
	LoadPollMillis:  500,
	PermitMillis:    2000,
	ConfirmMillis:   3000,
	StallMillis:     2000,
	AddressSeconds:  2,
	StopSeconds:     120,
}
