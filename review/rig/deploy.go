//go:build review

package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pollenspindle.example/pollenspindle/platform"
	"pollenspindle.example/pollenspindle/platform/platformtest"
)

// The templates of the configuration, of a server's entry and of an instance's settings hold the names of
// the wire.
var (
	//go:embed config.json
	configText string
	//go:embed added.json
	addedRouteText string
	//go:embed server.json
	serverText string
	//go:embed settings.json
	settingsText string
)

const (
	host      = "ficu95.example"
	key       = "xd9dnn2ctnfzs989anu6"
	plainName = "clubdesk-app"
	modelName = "spindle-llm"
	// firstPort lies below the range from which outgoing connections get their ports.
	firstPort, lastPort = 21000, 32000
	beatInterval        = 1200 * time.Millisecond
)

var (
	wire  = platform.Dialect()
	zones = []string{"kigali-a", "kigali-b", "muhanga-c"}
)

// instance is one process of the system.
type instance struct {
	name, zone                     string
	caller, ready, directory, peer string
	metrics, settings              string
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

// entry is a backend server as it is listed.
type entry struct {
	id, service, address, zone, state string
	slots                             int
	born                              int64
}

// deployment is a small deployment with stand-ins for the platform and the servers.
type deployment struct {
	dir, program string
	store        *platformtest.Store
	storeAddress string
	instances    []*instance

	mu       sync.Mutex
	entries  map[string]*entry
	sequence int
	port     int
}

func newDeployment() (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/pollenspindle")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, program: program, store: platformtest.NewStore(), entries: map[string]*entry{}, port: firstPort + os.Getpid()%5000}
	server := httptest.NewServer(d.store)
	d.storeAddress = strings.TrimPrefix(server.URL, "http://")
	d.configure(1, "")
	go d.beat()
	return d, nil
}

// configure writes a version of the configuration, with further routes.
func (d *deployment) configure(version int, routes string) {
	d.store.Put(wire.Kinds.Configuration, wire.Kinds.ConfigurationName, fmt.Sprintf(configText, version, routes))
}

// beat renews the entries of the servers.
func (d *deployment) beat() {
	for range time.Tick(beatInterval) {
		d.mu.Lock()
		d.sequence++
		for _, e := range d.entries {
			d.put(e)
		}
		d.mu.Unlock()
	}
}

func (d *deployment) put(e *entry) {
	d.store.Put(wire.Kinds.Servers, e.id, fmt.Sprintf(serverText, e.service, e.address, e.zone, e.slots, e.state, d.sequence, e.born))
}

// list lists a server.
func (d *deployment) list(e *entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	d.entries[e.id] = e
	d.put(e)
}

// unlist stops renewing the entry of a server, which expires after three heartbeats.
func (d *deployment) unlist(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	delete(d.entries, id)
	time.AfterFunc(3*beatInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.entries[id] == nil && e != nil {
			d.store.Remove(wire.Kinds.Servers, id)
		}
	})
}

// setState changes the state of a listed server.
func (d *deployment) setState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[id].state = state
	d.put(d.entries[id])
}

// address returns a free loopback address.
func (d *deployment) address() string {
	for {
		d.port++
		if d.port > lastPort {
			d.port = firstPort
		}
		a := fmt.Sprintf("127.0.0.1:%d", d.port)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a)
		if err == nil {
			_ = l.Close()
			return a
		}
	}
}

// start starts n instances and waits until all are ready and know each other.
func (d *deployment) start(n int) error {
	var peers []string
	for i := range n {
		in := &instance{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], caller: d.address(), ready: d.address(), directory: d.address(), peer: d.address(), metrics: d.address(),
		}
		in.settings = filepath.Join(d.dir, in.name+".conf")
		peers = append(peers, in.peer)
		d.instances = append(d.instances, in)
	}
	for _, in := range d.instances {
		text := fmt.Sprintf(settingsText, in.name, in.zone, in.caller, in.ready, in.directory, in.peer, in.metrics, strings.Join(peers[:min(3, n)], ","), d.storeAddress)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.launch(in); err != nil {
			return err
		}
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range d.instances {
			if in.isReady() && len(in.addresses()) > 0 {
				ready++
			}
		}
		if ready == n {
			return nil
		}
	}
	return fmt.Errorf("%d instances not ready", n)
}

// launch starts the process of an instance with the command of the deploy file.
func (d *deployment) launch(in *instance) error {
	log, err := os.OpenFile(filepath.Join(d.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.cmd = exec.CommandContext(context.Background(), d.program, "ingress", "--settings", in.settings)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(in.cmd, in.exited)
	return nil
}

func (in *instance) hasExited() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, in := range d.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			<-in.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

func fetch(address, path string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, ""
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func (in *instance) isReady() bool {
	status, _ := fetch(in.ready, wire.Paths.Ready)
	return status == http.StatusOK
}

// addresses asks the directory of an instance where to connect.
func (in *instance) addresses() string {
	status, body := fetch(in.directory, wire.Paths.Directory+"?"+url.Values{"name": {host}, wire.DirectoryZone: {in.zone}}.Encode())
	if status != http.StatusOK {
		return ""
	}
	return body
}
