package pollenspindle

// Config is the declared configuration of one deployment. The zero value is not
// valid; create one with [New], or fill its fields and call [Config.Validate].
type Config struct {
	Deployment string      `json:"deployment"`
	Limits     Limits      `json:"limits"`
	Zones      []Zone      `json:"zones"`
	Services   []Service   `json:"services"`
	Models     []Model     `json:"models,omitempty"`
	Servers    []Server    `json:"servers"`
	Workspaces []Workspace `json:"workspaces"`
}

// Limits limits the requests of a caller. Zero fields take the defaults of
// [DefaultLimits].
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// MaxOutputTokens is the maximum max_tokens of a request, in tokens.
	MaxOutputTokens int `json:"maxOutputTokens,omitempty"`
	// ClaimRetentionSeconds is the time for which the stored response of a
	// non-idempotent request is kept, in seconds.
	ClaimRetentionSeconds int `json:"claimRetentionSeconds,omitempty"`
}

// ZoneState tells whether an availability zone may receive new work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneInService ZoneState = "inService"
	ZoneTakenOut  ZoneState = "takenOut"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State may be empty in a configuration that is applied: an existing zone
	// keeps its state and a new one is in service. See [Config.KeepStates].
	State ZoneState `json:"state,omitempty"`
}

// ServiceKind distinguishes model engines from plain HTTP services.
type ServiceKind string

// The kinds of service.
const (
	ServiceGeneration ServiceKind = "generation"
	ServicePlain      ServiceKind = "plain"
)

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Routes applies to plain services only. The route with the longest matching
	// prefix is used; a request that matches none is rejected.
	Routes []Route `json:"routes,omitempty"`
	// TimeoutSeconds limits one call to a plain service, in seconds.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
	// QueueSeconds is the maximum time that a request of class interactive waits
	// for a backend server before it is rejected, in seconds.
	QueueSeconds int `json:"queueSeconds,omitempty"`
	// PatientQueueSeconds is the same for class patient, in seconds.
	PatientQueueSeconds int `json:"patientQueueSeconds,omitempty"`
	// TokenIntervalTargetMillis is the time between tokens above which a
	// backend server accepts no further generation, in milliseconds.
	TokenIntervalTargetMillis int `json:"tokenIntervalTargetMillis,omitempty"`
}

// Route declares whether calls of a plain service with this method and path
// prefix may be retried.
type Route struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
	Idempotent bool   `json:"idempotent"`
}

// Model is a model that generation services can run.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Service is the generation service whose backend servers run it.
	Service string `json:"service"`
	// ContextTokens is the maximum of prompt plus output, in tokens.
	ContextTokens int `json:"contextTokens"`
}

// ServerState tells whether a backend server may receive new work.
type ServerState string

// The states of a backend server.
const (
	ServerInService ServerState = "inService"
	ServerDraining  ServerState = "draining"
)

// Fencing tells whether a backend server checks fencing tokens.
type Fencing string

// The values of [Fencing].
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Server is a backend server: a model engine or one server of a plain service.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is an IP address and port, host:port.
	Address string `json:"address"`
	// State may be empty, like that of a [Zone].
	State ServerState `json:"state,omitempty"`
	// Models are the names of the models that an engine runs. Empty for plain
	// services.
	Models []string `json:"models,omitempty"`
	// ColdLimit is the maximum number of concurrent requests just after a start
	// of the backend server.
	ColdLimit int `json:"coldLimit"`
	// WarmLimit is the maximum number of concurrent requests when the backend
	// server is warm.
	WarmLimit int `json:"warmLimit"`
	// MemoryTokens is the engine's memory for running sequences, in tokens. 0 for
	// plain services.
	MemoryTokens int `json:"memoryTokens,omitempty"`
	// Fencing tells whether the engine rejects commands with an old fencing token.
	// Empty for plain services.
	Fencing Fencing `json:"fencing,omitempty"`
}

// Class is a class of work. Patient work may wait longer than interactive work.
type Class string

// The classes of work.
const (
	ClassInteractive Class = "interactive"
	ClassPatient     Class = "patient"
)

// Workspace is a customer of the deployment.
type Workspace struct {
	Name string `json:"name"`
	// TokenSHA256 holds the lower-case hex SHA-256 of each bearer token.
	TokenSHA256 []string `json:"tokenSha256"`
	// Weight is the workspace's share of tokens under contention, 1 to 1000.
	Weight int `json:"weight"`
	// Class is the default class of the workspace's requests.
	Class Class `json:"class"`
	// MaxRunning and MaxQueued limit the requests of the workspace that run or are
	// queued at one backend server. 0 means no limit for the workspace.
	MaxRunning int `json:"maxRunning,omitempty"`
	MaxQueued  int `json:"maxQueued,omitempty"`
}
