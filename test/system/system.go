// Package system starts a complete deployment of real processes for tests: entry instances, the
// platform, model engines and plain services, with a fault-injecting proxy on each link. It is
// not part of the product.
//
// # Usage
//
//	s := system.Start(t, system.Options{Deployment: "inyange"})
//	s.Instances[0].Process.Kill()
//	s.Servers["briefing-1"].Proxy.SilenceOpenConnections()
//	s.Instances[1].PlatformProxy.SetMode(faultproxy.Refuse)
package system

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/linkfault"
	"pollenspindle.example/pollenspindle/test/process"
)

const (
	operatorToken = "operator-of-the-test"
	// WaitTimeout limits the wait for a state that is normally reached within seconds. It is generous
	// because the machine may be busy.
	WaitTimeout = 60 * time.Second
	// PollInterval is the time between two checks for such a state.
	PollInterval = 20 * time.Millisecond
)

// Options configures the deployment. Zero fields take defaults.
type Options struct {
	// Deployment is inyange or mavuno; empty means inyange.
	Deployment string
	// Instances is the number of entry instances; 0 means 3.
	Instances int
	// AllServers starts all backend servers of the deployment. Otherwise one model engine per
	// availability zone and one plain server are started.
	AllServers bool
	// TimeScale is the speed of the engines relative to the nominal one; 0 means 4.
	TimeScale float64
	// EngineArgs and ServiceArgs are appended to the arguments of each stand-in, ServerArgs to
	// those of the backend server with that name.
	EngineArgs, ServiceArgs []string
	ServerArgs              map[string][]string
	// LinkFaults lets [System.SetLinks] cut the links of single instances to all backend servers.
	LinkFaults bool
	// Settings modifies the settings of each instance before it starts.
	Settings func(s *settings.Settings)
	// Config modifies the configuration before it is applied.
	Config func(c *pollenspindle.Config)
}

// System is a running deployment.
type System struct {
	Platform  *Node
	Instances []*Instance
	// Servers holds the backend servers by name.
	Servers map[string]*Node
	Config  *pollenspindle.Config

	// t is the outer test: processes end with it, including those that a subtest restarts.
	t                testing.TB
	opts             Options
	bin              string
	dir              string
	peerKey          string
	generationKey    string
	instanceList     []instancelist.Instance
	startedInstances int
}

// Node is a process behind a proxy.
type Node struct {
	Name    string
	Process *process.Process
	// Address is the address of the process; other processes connect to Proxy.
	Address string
	Proxy   *faultproxy.Proxy
	args    []string
}

// Instance is an entry instance. Each has its own proxy towards the platform, so that a single
// instance can be cut off from it.
type Instance struct {
	ID      string
	Process *process.Process
	// Caller and Peer are the advertised addresses; each is that of a proxy.
	Caller, Peer, Operator string
	CallerProxy, PeerProxy *faultproxy.Proxy
	PlatformProxy          *faultproxy.Proxy
	SettingsFile           string
	Zone                   string
}

// Start starts a deployment and waits until every instance is ready.
func Start(t testing.TB, opts Options) *System {
	t.Helper()
	if opts.Deployment == "" {
		opts.Deployment = "inyange"
	}
	if opts.Instances == 0 {
		opts.Instances = 3
	}
	if opts.TimeScale == 0 {
		opts.TimeScale = 4
	}
	s := &System{
		t: t, opts: opts, bin: process.Build(t), dir: t.TempDir(), Servers: map[string]*Node{},
		peerKey: newKey(t), generationKey: newKey(t),
	}
	s.Platform = s.startNode(t, "platform", "platform", "--lag-millis", "200")
	s.Config = s.deploymentConfig(t)
	s.startServers(t)
	for range opts.Instances {
		s.AddInstance(t)
	}
	s.Apply(t, *s.Config)
	s.WaitReady(t)
	return s
}

func newKey(t testing.TB) string {
	raw := make([]byte, 32)
	_, err := rand.Read(raw)
	require.NoError(t, err)
	return base64.StdEncoding.EncodeToString(raw)
}

// startNode starts a stand-in process behind a proxy.
func (s *System) startNode(t testing.TB, name, command string, args ...string) *Node {
	t.Helper()
	n := &Node{Name: name, Address: process.FreeAddress(t)}
	n.args = append([]string{command, "--address", n.Address}, args...)
	n.start(t, s.bin)
	proxy, err := faultproxy.Listen("127.0.0.1:0", n.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = proxy.Close() })
	n.Proxy = proxy
	return n
}

func (n *Node) start(t testing.TB, bin string) {
	t.Helper()
	n.Process = process.Start(t, filepath.Join(bin, "standin"), n.args...)
	n.Process.WaitForLine(t, "listening ")
}

// Restart restarts the process of a backend server at the same address.
func (s *System) Restart(t testing.TB, n *Node) {
	t.Helper()
	n.Process.Kill()
	n.start(s.t, s.bin)
}

// deploymentConfig runs the example program of the deployment and returns the configuration that
// it prints.
func (s *System) deploymentConfig(t testing.TB) *pollenspindle.Config {
	t.Helper()
	var args []string
	if !s.opts.AllServers {
		args = append(args, "--small")
	}
	out, err := exec.CommandContext(context.Background(), filepath.Join(s.bin, s.opts.Deployment), args...).Output()
	require.NoError(t, err)
	cfg, err := pollenspindle.Parse(s.opts.Deployment, out)
	require.NoError(t, err)
	if s.opts.Config != nil {
		s.opts.Config(&cfg)
	}
	return &cfg
}

func (s *System) startServers(t testing.TB) {
	t.Helper()
	kinds := map[string]pollenspindle.ServiceKind{}
	for _, service := range s.Config.Services {
		kinds[service.Name] = service.Kind
	}
	for i := range s.Config.Servers {
		server := &s.Config.Servers[i]
		args := []string{"--name", server.Name}
		command := "service"
		if kinds[server.Service] == pollenspindle.ServiceGeneration {
			command = "engine"
			args = append(args, "--seed", fmt.Sprint(i+1), "--time-scale", fmt.Sprint(s.opts.TimeScale))
			args = append(args, s.opts.EngineArgs...)
		} else {
			args = append(args, s.opts.ServiceArgs...)
		}
		args = append(args, s.opts.ServerArgs[server.Name]...)
		n := s.startNode(t, server.Name, command, args...)
		s.Servers[server.Name] = n
		server.Address = n.Proxy.Address()
	}
}

// AddInstance starts another entry instance and adds it as live to the platform's instance list.
func (s *System) AddInstance(t testing.TB) *Instance {
	t.Helper()
	zones := s.Config.Zones
	s.startedInstances++
	in := &Instance{ID: fmt.Sprintf("entry-%d", s.startedInstances), Operator: process.FreeAddress(t)}
	in.Zone = zones[(s.startedInstances-1)%len(zones)].Name
	caller, peer := process.FreeAddress(t), process.FreeAddress(t)
	in.CallerProxy = s.startProxy(t, caller)
	in.PeerProxy = s.startProxy(t, peer)
	in.PlatformProxy = s.startProxy(t, s.Platform.Address)
	in.Caller, in.Peer = in.CallerProxy.Address(), in.PeerProxy.Address()
	sum := sha256.Sum256([]byte(operatorToken))
	cfg := settings.Settings{
		Instance: in.ID, Region: zones[0].Region, Zone: in.Zone,
		CallerAddress: in.Caller, PeerAddress: in.Peer, OperatorAddress: in.Operator,
		Listen:      settings.Listen{CallerAddress: caller, PeerAddress: peer},
		PlatformURL: "http://" + in.PlatformProxy.Address(),
		PeerKey:     s.peerKey, GenerationKey: s.generationKey,
		OperatorTokenSHA256: hex.EncodeToString(sum[:]),
	}
	if s.opts.Settings != nil {
		s.opts.Settings(&cfg)
	}
	in.SettingsFile = filepath.Join(s.dir, in.ID+".jsonc")
	writeSettings(t, in, cfg)
	s.Instances = append(s.Instances, in)
	s.SetInstanceState(t, in, instancelist.StateLive)
	s.startInstance(in)
	return in
}

func (s *System) startProxy(t testing.TB, target string) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.Listen("127.0.0.1:0", target)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func (s *System) startInstance(in *Instance) {
	if s.opts.LinkFaults {
		in.Process = process.Start(s.t, filepath.Join(s.bin, "cutinstance"), "serve", "--settings", in.SettingsFile, "--links", in.linksFile())
		return
	}
	in.Process = process.Start(s.t, filepath.Join(s.bin, "pollenspindle"), "serve", "--settings", in.SettingsFile)
}

func (in *Instance) linksFile() string { return in.SettingsFile + ".links" }

// SetLinks sets the state of an instance's links to all backend servers.
func (s *System) SetLinks(t testing.TB, in *Instance, m linkfault.Mode) {
	t.Helper()
	require.NoError(t, linkfault.Set(in.linksFile(), m))
}

// RestartInstance restarts the process of an instance with the same name and addresses and no
// retained state.
func (s *System) RestartInstance(t testing.TB, in *Instance) {
	t.Helper()
	in.Process.Kill()
	s.startInstance(in)
}

func writeSettings(t testing.TB, in *Instance, cfg settings.Settings) {
	t.Helper()
	data, err := json.MarshalIndent(cfg, "", "  ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(in.SettingsFile, data, 0o600))
}

// ChangeSettings changes the settings file of an instance and restarts its process.
func (s *System) ChangeSettings(t testing.TB, in *Instance, change func(s *settings.Settings)) {
	t.Helper()
	cfg, err := settings.Load(in.SettingsFile)
	require.NoError(t, err)
	change(&cfg)
	writeSettings(t, in, cfg)
	s.RestartInstance(t, in)
}

// SetInstanceState sets the state of an instance in the platform's instance list. An empty state
// removes the instance from the list.
func (s *System) SetInstanceState(t testing.TB, in *Instance, state instancelist.State) {
	t.Helper()
	s.instanceList = slices.DeleteFunc(s.instanceList, func(l instancelist.Instance) bool { return l.ID == in.ID })
	if state != "" {
		s.instanceList = append(s.instanceList, instancelist.Instance{
			ID: in.ID, Address: in.Caller, PeerAddress: in.Peer, Zone: in.Zone, State: state,
		})
	}
	s.Control(t, s.Platform.Address, http.MethodPut, "/control/instances", map[string]any{"instances": s.instanceList})
}

// Control sends a request to a stand-in directly, bypassing its proxy, and returns the response
// body.
func (s *System) Control(t testing.TB, address, method, path string, body any) []byte {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Less(t, res.StatusCode, 300, "%s %s: %s", method, path, out)
	return out
}

// OperatorClient returns a client for the operator API of an instance.
func (s *System) OperatorClient(t testing.TB, in *Instance) *operatorapi.Client {
	t.Helper()
	c := operatorapi.NewClient(in.Operator, operatorToken)
	t.Cleanup(c.Close)
	return c
}

// Apply applies a configuration through the first instance that accepts it and returns its
// version.
func (s *System) Apply(t testing.TB, cfg pollenspindle.Config) int64 {
	t.Helper()
	var version int64
	require.Eventually(t, func() bool {
		for _, in := range s.Instances {
			c := s.OperatorClient(t, in)
			current, err := c.Configuration(t.Context())
			if err != nil {
				continue
			}
			accepted, err := c.Apply(t.Context(), operatorapi.ApplyRequest{
				BaseVersion: current.Version, Author: "test", Summary: "test", Config: cfg,
			})
			if err == nil {
				version = accepted.Version
				return true
			}
		}
		return false
	}, WaitTimeout, PollInterval, "configuration is not accepted")
	return version
}

// WaitReady waits until each instance is ready and returns all of them to callers, and the
// backend servers have owners that know their load.
func (s *System) WaitReady(t testing.TB) {
	t.Helper()
	for _, in := range s.Instances {
		require.Eventually(t, func() bool {
			return s.status(t, in, "/readyz") == http.StatusOK && len(s.ListedInstances(t, in)) == len(s.Instances)
		}, WaitTimeout, PollInterval, "%s is not ready", in.ID)
	}
}

func (s *System) status(t testing.TB, in *Instance, path string) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+in.Caller+path, nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
