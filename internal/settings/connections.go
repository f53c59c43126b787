package settings

// Connections limits what the connections of clients hold of a process, at all of its addresses together.
type Connections struct {
	// Max is the number of open connections; 0 means a third of the descriptors that the process may open.
	Max int `json:"max"`
	// Megabytes is the memory of connections and of the heads of their requests; 0 means a fifth of the memory of
	// the process.
	Megabytes int `json:"megabytes"`
}

// DefaultMemoryMegabytes is the memory of a process whose settings name none.
const DefaultMemoryMegabytes = 512

// connectionMemoryShare is the share of the memory of a process that connections may take by default.
const connectionMemoryShare = 0.2

// connectionDescriptorShare is the share of the descriptors of a process that connections may take by default.
const connectionDescriptorShare = 1.0 / 3

// MaxBytes returns the memory of connections and heads for a process with a number of bytes.
func (c Connections) MaxBytes(processBytes int64) int64 {
	if c.Megabytes > 0 {
		return int64(c.Megabytes) << 20
	}
	return int64(float64(processBytes) * connectionMemoryShare)
}

// MaxOpen returns the number of connections for a process that may open a number of descriptors.
func (c Connections) MaxOpen(descriptors int) int {
	if c.Max > 0 {
		return c.Max
	}
	return int(float64(descriptors) * connectionDescriptorShare)
}

const (
	// minConnections and minConnectionMegabytes let operators and other instances in beside callers.
	minConnections         = 16
	minConnectionMegabytes = 4
	maxConnections         = 1 << 20
	maxMemoryMegabytes     = 1 << 20
)

func checkMemory(c checker, megabytes int) {
	if megabytes != 0 && (megabytes < minMemoryMegabytes || megabytes > maxMemoryMegabytes) {
		c.add("memoryMegabytes", "must be at least %d and at most %d", minMemoryMegabytes, maxMemoryMegabytes)
	}
}

func checkConnections(c checker, s Connections) {
	if s.Max != 0 && (s.Max < minConnections || s.Max > maxConnections) {
		c.add("connections.max", "must be at least %d and at most %d", minConnections, maxConnections)
	}
	if s.Megabytes != 0 && (s.Megabytes < minConnectionMegabytes || s.Megabytes > maxMemoryMegabytes) {
		c.add("connections.megabytes", "must be at least %d and at most %d", minConnectionMegabytes, maxMemoryMegabytes)
	}
}
