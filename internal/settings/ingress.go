package settings

import (
	"io"
	"os"

	"pollenspindle.example/pollenspindle/internal/strictjson"
)

// Ingress configures one instance of the ingress, which routes requests by host and path. Its file
// is JSON with comments, like that of [Settings].
type Ingress struct {
	// Instance is the name of this instance, unique in the deployment.
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// CallerAddress, ReadyAddress, DirectoryAddress, PeerAddress and MetricsAddress are where the
	// instance listens, host:port by IP number.
	CallerAddress    string `json:"callerAddress"`
	ReadyAddress     string `json:"readyAddress"`
	DirectoryAddress string `json:"directoryAddress"`
	PeerAddress      string `json:"peerAddress"`
	MetricsAddress   string `json:"metricsAddress"`
	// Seeds are the peer addresses of instances to contact first, separated by commas. Some may be
	// out of date.
	Seeds string `json:"seeds"`
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// PeerKey authenticates instances to each other: base64 of 32 bytes.
	PeerKey string `json:"peerKey"`
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `json:"memoryMegabytes"`
	// FileDescriptors is the number of descriptors that the process may open, if the system doesn't tell; 0 means what
	// the system allows.
	FileDescriptors int `json:"fileDescriptors"`
	// Connections limits what the connections of clients hold.
	Connections Connections `json:"connections"`
	// LinkMegabits is the bandwidth of the instance's link in megabits per second; 0 if unknown.
	LinkMegabits float64 `json:"linkMegabits"`
	// FirstStart means that all instances start for the first time, before there are callers.
	FirstStart bool `json:"firstStart"`
	// GraceSeconds is the time that requests have to complete at a shutdown.
	GraceSeconds float64 `json:"graceSeconds"`
	// ColdOverage and ColdSlack limit the requests per second to a cold backend server, over all
	// instances: the server's own limit times ColdOverage, plus ColdSlack.
	ColdOverage float64 `json:"coldOverage"`
	ColdSlack   float64 `json:"coldSlack"`
	// RetryRatio and RetrySlack limit the repeats of a service over all instances: in no window of
	// RetryWindowSeconds (0 for 10) there may be more than RetrySlack and RetryRatio times its requests.
	RetryRatio         float64 `json:"retryRatio"`
	RetrySlack         float64 `json:"retrySlack"`
	RetryWindowSeconds float64 `json:"retryWindowSeconds"`
	// ConfigurationMillis, DrainMillis and EvacuationMillis are the times within which every
	// instance must apply a new configuration, a leaving server and a drained zone; 0 means the
	// default, see platformstate.DefaultPropagationLimits.
	ConfigurationMillis float64 `json:"configurationMillis"`
	DrainMillis         float64 `json:"drainMillis"`
	EvacuationMillis    float64 `json:"evacuationMillis"`
	// ServerHeartbeatMillis is how often backend servers renew their entries in the platform, which
	// removes an entry after three intervals without; 0 means 1000.
	ServerHeartbeatMillis float64 `json:"serverHeartbeatMillis"`
	// RollbackMillis is the time within which a faulty version must stop getting requests; 0 means
	// that there are no rollouts. ExposureShare is the fraction of a service's requests that a new
	// version may get before it is promoted, and ExposureSlack is a number of requests on top.
	RollbackMillis float64 `json:"rollbackMillis"`
	ExposureShare  float64 `json:"exposureShare"`
	ExposureSlack  float64 `json:"exposureSlack"`
	// PlaceByPace places generations by the measured speed of each engine, for services whose
	// engines differ in speed. The default is false.
	PlaceByPace bool `json:"placeByPace"`
	// LearnLengths estimates output lengths from completed generations instead of the caller's hint
	// alone. The default is false.
	LearnLengths bool `json:"learnLengths"`
	// BoundHandover spreads and orders generations so that an engine can hand over all of them
	// between its shutdown notice and its exit. The default is false.
	BoundHandover bool `json:"boundHandover"`
	// PlacementQueue queues generations at the planner while engines have no free memory, instead of
	// refusing them at once. It needs LearnLengths. The default is false.
	PlacementQueue bool `json:"placementQueue"`
	// DetectSilence moves streams without events, and avoids engines that accept streams but send
	// nothing and plain servers that are several times slower than others. The default is false.
	DetectSilence bool  `json:"detectSilence"`
	Log           Log   `json:"log"`
	Trace         Trace `json:"trace"`
}

// minMemoryMegabytes is the memory of an idle instance.
const minMemoryMegabytes = 64

// LoadIngress reads and checks the settings file at path.
func LoadIngress(path string) (Ingress, error) {
	file, err := os.Open(path)
	if err != nil {
		return Ingress{}, readError(err, path)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, strictjson.MaxBytes+1))
	if err != nil {
		return Ingress{}, readError(err, path)
	}
	return ParseIngress(path, data)
}

// ParseIngress is [LoadIngress] for settings that are already in memory; name prefixes each fault.
func ParseIngress(name string, data []byte) (Ingress, error) {
	var s Ingress
	doc := strictjson.Decode(data, &s)
	if doc.WellFormed() {
		checkIngress(doc, s)
	}
	if faults := doc.Faults(); len(faults) > 0 {
		return Ingress{}, &InvalidError{Name: name, Faults: faults}
	}
	if s.Log.Level == "" {
		s.Log.Level = DefaultLogLevel
	}
	if s.Trace.Exporter == "" {
		s.Trace.Exporter = ExporterNone
	}
	return s, nil
}

func checkIngress(doc *strictjson.Document, s Ingress) {
	c := checker{doc}
	c.name("instance", s.Instance)
	c.name("zone", s.Zone)
	addresses := []address{
		{"callerAddress", s.CallerAddress}, {"readyAddress", s.ReadyAddress},
		{"directoryAddress", s.DirectoryAddress}, {"peerAddress", s.PeerAddress},
	}
	for _, a := range addresses {
		c.missing(a.path, a.value)
	}
	c.checkAddresses(append(addresses, address{"metricsAddress", s.MetricsAddress}), false)
	if !c.missing("platformAddress", s.PlatformAddress) {
		c.checkAddresses([]address{{"platformAddress", s.PlatformAddress}}, false)
	}
	c.key("peerKey", s.PeerKey)
	checkConnections(c, s.Connections)
	checkMemory(c, s.MemoryMegabytes)
	for _, f := range []struct {
		path  string
		value float64
	}{
		{"graceSeconds", s.GraceSeconds}, {"coldOverage", s.ColdOverage}, {"coldSlack", s.ColdSlack},
		{"linkMegabits", s.LinkMegabits}, {"retryRatio", s.RetryRatio}, {"retrySlack", s.RetrySlack}, {"retryWindowSeconds", s.RetryWindowSeconds},
		{"configurationMillis", s.ConfigurationMillis}, {"drainMillis", s.DrainMillis}, {"evacuationMillis", s.EvacuationMillis}, {"serverHeartbeatMillis", s.ServerHeartbeatMillis},
		{"rollbackMillis", s.RollbackMillis}, {"exposureShare", s.ExposureShare}, {"exposureSlack", s.ExposureSlack},
	} {
		if f.value < 0 {
			c.add(f.path, "must not be negative")
		}
	}
	if s.PlacementQueue && !s.LearnLengths {
		c.add("placementQueue", "needs learnLengths")
	}
	c.oneOf("log.level", s.Log.Level, logLevels)
	c.trace(s.Trace)
}
