package slopes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/loadgen/procstat"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	processServers = 200
	// processSettleTime is the time until all instances are in the roster, processMeasureTime
	// how long they are measured.
	processSettleTime  = 8 * time.Second
	processMeasureTime = 6 * time.Second
	startTimeout       = 30 * time.Second
	outageTime         = 6 * time.Second
)

var processSizes = []int{3, 7, 14, 28, 48}

// processSeries measures idle entry instances as real processes on loopback. Their
// configuration declares 200 backend servers that don't exist, so the load polls fail and cost
// little.
func processSeries(ctx context.Context, opts Options) ([]Series, error) {
	out := []Series{
		{Name: "idle entry instance", Unit: "% of a core", SizeName: "instances", DesignSize: designInstances},
		{Name: "idle entry instance, resident memory", Unit: "MB", SizeName: "instances", DesignSize: designInstances},
		{Name: "idle entry instance, resident memory not backed by files", Unit: "MB", SizeName: "instances", DesignSize: designInstances},
		{Name: "idle entry instance, bytes sent to peers", Unit: "bytes/s", SizeName: "instances", DesignSize: designInstances},
		{Name: "platform calls of all instances", Unit: "calls/s", SizeName: "instances", DesignSize: designInstances},
		{Name: "metrics of one instance", Unit: "series", SizeName: "instances", DesignSize: designInstances},
		{Name: "instances that accept new work, 6 s into a platform outage", Unit: "% of them", SizeName: "instances", DesignSize: designInstances},
	}
	for _, n := range processSizes {
		values, err := measureProcesses(ctx, opts.Binaries, n)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			out[i].Points = append(out[i].Points, Point{float64(n), v})
		}
	}
	return out, nil
}

// deployment is a platform stand-in and entry instances that run as processes.
type deployment struct {
	dir       string
	binaries  string
	platform  string
	processes []*exec.Cmd
	// instances are the elements of processes that are entry instances.
	instances         []*exec.Cmd
	operatorAddresses []string
	callerAddresses   []string
}

func newDeployment(binaries string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "pollenspindle-slopes-")
	if err != nil {
		return nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return &deployment{dir: dir, binaries: binaries}, nil
}

func measureProcesses(ctx context.Context, binaries string, n int) ([]float64, error) {
	d, err := newDeployment(binaries)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.startInstances(ctx, n, fleetConfig(processServers, designWorkspaces)); err != nil {
		return nil, err
	}
	if err := objectapi.Sleep(ctx, processSettleTime); err != nil {
		return nil, merry.Wrap(err)
	}
	values, err := d.measureUsage(ctx, processMeasureTime)
	if err != nil {
		return nil, err
	}
	ready, err := d.readyPercentInOutage(ctx)
	return append(values, ready), err
}

// readyPercentInOutage kills the platform and returns the percentage of instances that are
// ready for new work after outageTime. That is twice the time after which an instance that
// can't confirm its configuration accepts no new work.
func (d *deployment) readyPercentInOutage(ctx context.Context) (float64, error) {
	if err := d.processes[0].Process.Kill(); err != nil {
		return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	if err := objectapi.Sleep(ctx, outageTime); err != nil {
		return 0, merry.Wrap(err)
	}
	ready := 0
	for _, address := range d.callerAddresses {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
		if err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready++
		}
	}
	return 100 * float64(ready) / float64(len(d.callerAddresses)), nil
}

// startInstances starts the platform with a configuration, and n instances.
func (d *deployment) startInstances(ctx context.Context, n int, cfg pollenspindle.Config) error {
	addresses, err := freeAddresses(ctx, 1+3*n)
	if err != nil {
		return err
	}
	d.platform = "http://" + addresses[0]
	if err := d.startProcess(ctx, "standin", "platform", "--address", addresses[0], "--lag-millis", "300"); err != nil {
		return err
	}
	client := newClient(d.platform, nil)
	defer client.Close()
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := config.Apply(readyCtx, client, config.Change{Config: cfg, Author: "slopes", Summary: "all"})
		if err == nil {
			break
		}
		if objectapi.Sleep(readyCtx, 100*time.Millisecond) != nil {
			return merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
	}
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	var list []instancelist.Instance
	for i := range n {
		s := settings.Settings{
			Instance: fmt.Sprintf("entry-%03d", i), Zone: zoneName(i), Region: regionName(i),
			CallerAddress: addresses[1+3*i], PeerAddress: addresses[2+3*i], OperatorAddress: addresses[3+3*i],
			PlatformURL: d.platform, PeerKey: key, GenerationKey: key,
			OperatorTokenSHA256: strings.Repeat("0", 64), Log: settings.Log{Level: "error"},
		}
		list = append(list, instancelist.Instance{
			ID: s.Instance, Address: s.CallerAddress, PeerAddress: s.PeerAddress, Zone: s.Zone, State: instancelist.StateLive,
		})
		d.operatorAddresses, d.callerAddresses = append(d.operatorAddresses, s.OperatorAddress), append(d.callerAddresses, s.CallerAddress)
		if err := d.startInstance(ctx, s); err != nil {
			return err
		}
	}
	return d.putInstances(ctx, list)
}

func (d *deployment) startInstance(ctx context.Context, s settings.Settings) error {
	data, err := json.Marshal(s)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	path := filepath.Join(d.dir, s.Instance+".jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	if err := d.startProcess(ctx, "pollenspindle", "serve", "--settings", path); err != nil {
		return err
	}
	d.instances = append(d.instances, d.processes[len(d.processes)-1])
	return nil
}

func (d *deployment) putInstances(ctx context.Context, list []instancelist.Instance) error {
	data, err := json.Marshal(map[string]any{"instances": list})
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, d.platform+"/control/instances", bytes.NewReader(data))
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return resp.Body.Close()
}

func (d *deployment) startProcess(ctx context.Context, program string, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(d.binaries, program), args...)
	if err := cmd.Start(); err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	d.processes = append(d.processes, cmd)
	return nil
}

// stop kills all processes and removes their directory. No data is kept.
func (d *deployment) stop() {
	for _, cmd := range d.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// usage is what all instances together have used so far.
type usage struct {
	cpu            time.Duration
	rssBytes       int64
	anonymousBytes float64
	bytesSent      float64
	platformCalls  float64
	metricSeries   float64
}

func (d *deployment) readUsage(ctx context.Context) (usage, error) {
	var total usage
	for _, cmd := range d.instances {
		stat, err := procstat.Read(cmd.Process.Pid)
		if err != nil {
			return total, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		total.cpu += stat.CPU
		total.rssBytes += stat.RSSBytes
		anon, err := anonymousMemory(cmd.Process.Pid)
		if err != nil {
			return total, err
		}
		total.anonymousBytes += anon
	}
	for _, address := range d.operatorAddresses {
		if err := total.scrapeMetrics(ctx, address); err != nil {
			return total, err
		}
	}
	return total, nil
}

// anonymousMemory returns the resident memory of a process that isn't backed by a file, in
// bytes.
func anonymousMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024, err
		}
	}
	return 0, merry.Wrap(ErrMeasure, merry.AppendMessage("no RssAnon in /proc/PID/status"))
}

// scrapeMetrics adds the metrics of one instance.
func (r *usage) scrapeMetrics(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		r.metricSeries++
		at := strings.LastIndexByte(line, ' ')
		if at < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			continue
		}
		switch {
		case strings.Contains(line, "peer_bytes_sent"):
			r.bytesSent += value
		case strings.Contains(line, "platform_calls"):
			r.platformCalls += value
		}
	}
	return lines.Err()
}

// measureUsage returns the mean usage per instance over duration, in the order of the series of
// [processSeries]. Platform calls are those of all instances together.
func (d *deployment) measureUsage(ctx context.Context, duration time.Duration) ([]float64, error) {
	before, err := d.readUsage(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := objectapi.Sleep(ctx, duration); err != nil {
		return nil, merry.Wrap(err)
	}
	after, err := d.readUsage(ctx)
	if err != nil {
		return nil, err
	}
	elapsed, n := time.Since(start).Seconds(), float64(len(d.operatorAddresses))
	return []float64{
		100 * (after.cpu - before.cpu).Seconds() / elapsed / n,
		float64(after.rssBytes) / n / 1e6,
		after.anonymousBytes / n / 1e6,
		(after.bytesSent - before.bytesSent) / elapsed / n,
		(after.platformCalls - before.platformCalls) / elapsed,
		after.metricSeries / n,
	}, nil
}

// freeAddresses returns n unused addresses on loopback.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		// All listeners stay open until the end, so that no address is returned twice.
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
