//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// zones are the zones of the deployment; the instances and servers are spread over them.
var zones = []string{"kigali-a", "kigali-b", "muhanga-c"}

// allMachines is the number of machines of the deployment.
const allMachines = 7

// instance is one process of the system.
type instance struct {
	name, zone                              string
	caller, ready, directory, peer, metrics string
	settings                                string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// fleet is a small deployment of the system before a store.
type fleet struct {
	binary, dir string
	instances   []*instance
	rec         *record
}

// firstPort is the first port for listeners: those of outgoing connections lie above.
const firstPort = 18000

var lastPort = firstPort + rand.IntN(8000)

// freeAddress returns a loopback address that nothing listens on. It returns each address once.
func freeAddress() (string, error) {
	for range 1000 {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port above %d", lastPort)
}

// newFleet writes the settings of n instances, with the fields of the template of the deploy file.
func newFleet(rec *record, binary, dir, platform string, n int, memoryMegabytes int) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, rec: rec}
	var seeds []string
	for i := range n {
		in := &instance{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)]}
		for _, address := range []*string{&in.caller, &in.ready, &in.directory, &in.peer, &in.metrics} {
			a, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*address = a
		}
		if i < 3 {
			seeds = append(seeds, in.peer)
		}
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances {
		in.settings = filepath.Join(dir, in.name+".jsonc")
		text, err := json.Marshal(map[string]any{
			"instance": in.name, "zone": in.zone, "callerAddress": in.caller, "readyAddress": in.ready, "directoryAddress": in.directory,
			"peerAddress": in.peer, "metricsAddress": in.metrics, "seeds": strings.Join(seeds, ","), "platformAddress": platform,
			"peerKey": "cG9sbGVuc3BpbmRsZS1wZWVyLWtleS0zMi1ieXRlcy4=", "memoryMegabytes": memoryMegabytes, "linkMegabits": 1000.0,
			"firstStart": true, "graceSeconds": 8, "coldOverage": 1.5, "coldSlack": 5, "retryRatio": 0.2, "retrySlack": 54,
			"configurationMillis": 2000, "drainMillis": 2000, "evacuationMillis": 5000, "placeByPace": true, "learnLengths": true,
			"boundHandover": true, "placementQueue": true, "detectSilence": true, "log": map[string]any{"level": "info"},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(in.settings, text, 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts the process of an instance; its log goes into the temporary folder.
func (f *fleet) start(in *instance) error {
	log, err := os.OpenFile(filepath.Join(f.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.binary, "ingress", "--settings", in.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	f.rec.add("instance %s started", in.name)
	go func() {
		err := cmd.Wait()
		f.rec.add("instance %s ended: %v", in.name, err)
		close(exited)
	}()
	return nil
}

func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

// kill kills the process and waits for its end.
func (in *instance) kill() {
	in.mu.Lock()
	cmd, exited := in.cmd, in.exited
	in.mu.Unlock()
	_ = cmd.Process.Kill()
	<-exited
}

// startAll starts all instances and waits until each is ready and knows all.
func (f *fleet) startAll(ctx context.Context) error {
	for _, in := range f.instances {
		if err := f.start(in); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		ready := 0
		for _, in := range f.instances {
			if in.isReady() && len(in.lookUp()) > 0 {
				ready++
			}
		}
		if ready == len(f.instances) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("instances not ready: %w", ctx.Err())
}

// stopAll kills all processes that still run and waits for them.
func (f *fleet) stopAll() {
	for _, in := range f.instances {
		if in.cmd != nil {
			in.kill()
		}
	}
}

var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (in *instance) isReady() bool {
	resp, err := shortClient.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lookUp asks the instance's directory where to connect.
func (in *instance) lookUp() []string {
	query := url.Values{"name": {host}, "region": {"rw-central"}, "zone": {in.zone}}
	resp, err := shortClient.Get("http://" + in.directory + wire.Paths.Directory + "?" + query.Encode())
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Addresses
}
